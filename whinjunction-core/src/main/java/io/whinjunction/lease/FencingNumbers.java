package io.whinjunction.lease;

import io.whinjunction.store.StoreVersion;

/**
 * Computes fencing numbers that keep increasing after the store was restored from an
 * older copy.
 * <p>
 * Guards against duplicate and decreasing numbers after a restore: the copy contains
 * neither the last holders of the lease nor their numbers, and a write that was issued
 * before the restore may still be executed and put back an earlier number. If the number
 * in the lease were simply incremented, a number could be issued twice, or engines would
 * permanently refuse a new holder because they have seen a higher number. A number is
 * therefore derived from the version that the holder's write replaces: each version is
 * replaced once, and later versions are higher.
 * <p>
 * Stateless.
 */
final class FencingNumbers {

	/** The numbers reserved for an era; more than a store has revisions. */
	private static final long NUMBERS_PER_ERA = 1L << 32;

	private FencingNumbers() {
	}

	/**
	 * Returns the number of the next holder.
	 * @param seen the number stored in the lease
	 * @param replaced the version of the lease that the holder's write replaces
	 * @return a number that no earlier holder has had
	 */
	static long next(long seen, StoreVersion replaced) {
		return Math.max(seen, highestUpTo(replaced)) + 1;
	}

	/**
	 * Returns whether a number was issued in an era, not in an earlier one.
	 * @param number the number
	 * @param era the era
	 * @return {@code false} for numbers that were restored with an older copy of the
	 * store
	 */
	static boolean issuedInEra(long number, long era) {
		return number > era * NUMBERS_PER_ERA;
	}

	/**
	 * Returns the highest number that can have been issued up to a version.
	 * @param version the version of the lease
	 * @return the number
	 */
	static long highestUpTo(StoreVersion version) {
		return version.era() * NUMBERS_PER_ERA + version.revision();
	}

}
