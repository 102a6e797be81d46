package io.whinjunction.lease;

import io.whinjunction.store.StoreVersion;

/**
 * Fencing numbers that go up also where the store has come back from an older copy.
 * <p>
 * The failure it guards against: the copy knows neither the last holders of the lease nor
 * their numbers, and a write that was claimed before may still be carried out and put an
 * earlier number back. Counted on from what the lease says, a number is given out twice,
 * or engines refuse a new holder for good, since they have seen a higher one. Therefore a
 * number follows from the version that its write replaces: each one is replaced once, and
 * later ones are higher.
 * <p>
 * Stateless.
 */
final class FencingNumbers {

	/** How many numbers an era has: more than a store has revisions. */
	private static final long NUMBERS_PER_ERA = 1L << 32;

	private FencingNumbers() {
	}

	/**
	 * The number of the next holder.
	 * @param seen the number that stands in the lease
	 * @param replaced the version of the lease that the holder's write replaces
	 * @return a number that no earlier holder has had
	 */
	static long next(long seen, StoreVersion replaced) {
		return Math.max(seen, highestUpTo(replaced)) + 1;
	}

	/**
	 * Whether a number was given out in an era, and not in one before it.
	 * @param number the number
	 * @param era the era
	 * @return {@code false} for the numbers that a copy of the store has kept
	 */
	static boolean issuedInEra(long number, long era) {
		return number > era * NUMBERS_PER_ERA;
	}

	/**
	 * The highest number that can have been given out.
	 * @param version the version of the lease
	 * @return the number
	 */
	static long highestUpTo(StoreVersion version) {
		return version.era() * NUMBERS_PER_ERA + version.revision();
	}

}
