package io.whinjunction.explain;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers, for the newest requests, why they went where or why they were refused.
 * <p>
 * Invariant: bounded; holds no prompt, answer or key. Safe for all threads.
 */
public final class DecisionLog {

	private static final int CAPACITY = 2048;

	private final Map<String, String> decisions = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
			return size() > CAPACITY;
		}

	};

	/**
	 * Remembers.
	 * @param requestId the request
	 * @param json what was decided and why
	 */
	public synchronized void put(String requestId, String json) {
		this.decisions.put(requestId, json);
	}

	/**
	 * Recalls.
	 * @param requestId the request
	 * @return the decision, or {@code null} where it is not remembered here
	 */
	public synchronized String find(String requestId) {
		return this.decisions.get(requestId);
	}

}
