package io.whinjunction.explain;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records the routing decisions of the newest requests, and the reasons of refusals.
 * <p>
 * Invariant: bounded; contains no prompt, answer or key. Thread-safe.
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
	 * Records a decision.
	 * @param requestId the request
	 * @param json the decision and its reason
	 */
	public synchronized void put(String requestId, String json) {
		this.decisions.put(requestId, json);
	}

	/**
	 * Returns the decision of a request.
	 * @param requestId the request
	 * @return the decision, or {@code null} if none is recorded
	 */
	public synchronized String find(String requestId) {
		return this.decisions.get(requestId);
	}

}
