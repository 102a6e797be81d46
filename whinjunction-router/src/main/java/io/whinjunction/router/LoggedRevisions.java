package io.whinjunction.router;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The objects about which a line was logged, each with its revision at that time, so that
 * an object that is read again and again is logged once for each change.
 * <p>
 * Invariant: at most {@link #MAX_OBJECTS} objects are remembered. Confined to one thread.
 */
public final class LoggedRevisions {

	private static final int MAX_OBJECTS = 1024;

	private final Map<String, Long> revisions = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_OBJECTS;
		}

	};

	/**
	 * Records that a line about an object is due.
	 * @param name the name of the object
	 * @param revision its revision
	 * @return whether no line was logged about this revision, as far as is remembered
	 */
	public boolean add(String name, long revision) {
		Long before = this.revisions.put(name, revision);
		return before == null || before != revision;
	}

}
