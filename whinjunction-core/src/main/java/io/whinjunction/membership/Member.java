package io.whinjunction.membership;

/**
 * The state of one entry as another entry sees it. Immutable.
 *
 * @param id its name
 * @param address where peers reach it, {@code HOST:PORT}
 * @param failureDomain where it is
 * @param incarnation incremented by the member itself to refute a false status
 * @param status the status
 */
public record Member(String id, String address, String failureDomain, long incarnation, Status status) {

	Member with(Status newStatus) {
		return new Member(this.id, this.address, this.failureDomain, this.incarnation, newStatus);
	}

	/**
	 * Returns whether this state replaces another state of the same member: the higher
	 * incarnation takes precedence, and within one incarnation the worse status.
	 * @param other the other state
	 * @return whether this one is newer
	 */
	boolean overrides(Member other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.status.ordinal() > other.status.ordinal();
	}

	/**
	 * The status of a member, from good to final.
	 */
	public enum Status {

		/** The member answers. */
		ALIVE,
		/** The member did not answer recently. */
		SUSPECT,
		/** The member did not answer during the suspicion time. */
		DEAD,
		/** The member has announced that it leaves. */
		LEAVING

	}

}
