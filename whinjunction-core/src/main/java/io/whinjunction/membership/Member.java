package io.whinjunction.membership;

/**
 * What is believed of one entry. Immutable.
 *
 * @param id its name
 * @param address where peers reach it, {@code HOST:PORT}
 * @param failureDomain where it is
 * @param incarnation raised by the member itself to refute a rumour
 * @param status the belief
 */
public record Member(String id, String address, String failureDomain, long incarnation, Status status) {

	Member with(Status newStatus) {
		return new Member(this.id, this.address, this.failureDomain, this.incarnation, newStatus);
	}

	/**
	 * Whether this belief replaces another on the same member: the higher incarnation
	 * wins, and within one incarnation the worse word.
	 * @param other the other belief
	 * @return whether this one is newer
	 */
	boolean overrides(Member other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.status.ordinal() > other.status.ordinal();
	}

	/**
	 * The belief, from good to final.
	 */
	public enum Status {

		/** It answers. */
		ALIVE,
		/** It did not answer lately. */
		SUSPECT,
		/** It did not answer for the suspicion time. */
		DEAD,
		/** It said that it goes. */
		LEAVING

	}

}
