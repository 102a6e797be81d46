package io.whinjunction.priority;

/**
 * Ranks of requests: 0 is the most urgent. Stateless.
 */
public final class RequestRank {

	/** The number of ranks; less urgent priorities share the last one. */
	public static final int COUNT = 10;

	/** The rank of requests without a priority, the same that engines give them. */
	private static final int DEFAULT_RANK = 5;

	private RequestRank() {
	}

	/**
	 * Returns the rank of a priority.
	 * @param priority the priority; below 0 if none is set
	 * @return from 0 to {@link #COUNT} - 1
	 */
	public static int of(int priority) {
		return (priority < 0) ? DEFAULT_RANK : Math.min(priority, COUNT - 1);
	}

}
