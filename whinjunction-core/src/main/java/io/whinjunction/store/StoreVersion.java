package io.whinjunction.store;

/**
 * The version of an item in the platform's store. Immutable.
 * <p>
 * A store that is restored from an older copy assigns its revisions again and starts a
 * new era. Revisions are comparable only within one era; of two eras, the later one is
 * the state of the store.
 *
 * @param era how often the store was restored; 0 if it does not report that
 * @param revision the store's revision, which increases within an era
 */
public record StoreVersion(long era, long revision) implements Comparable<StoreVersion> {

	/** The version before the first read. */
	public static final StoreVersion NONE = new StoreVersion(0, 0);

	@Override
	public int compareTo(StoreVersion other) {
		return (this.era != other.era) ? Long.compare(this.era, other.era)
				: Long.compare(this.revision, other.revision);
	}

	/**
	 * Returns whether this version is later than another one.
	 * @param other the other version
	 * @return {@code true} also for any revision of a later era
	 */
	public boolean after(StoreVersion other) {
		return compareTo(other) > 0;
	}

	/**
	 * Returns the version with another revision of the same era.
	 * @param otherRevision the revision
	 * @return the version
	 */
	public StoreVersion at(long otherRevision) {
		return new StoreVersion(this.era, otherRevision);
	}

	@Override
	public String toString() {
		return this.era + "/" + this.revision;
	}

}
