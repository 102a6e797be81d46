package io.whinjunction.time;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources and closes them in reverse order.
 * <p>
 * Invariant: every registered resource is closed once, also when an earlier close fails;
 * the first failure is rethrown with the later ones suppressed. Thread-safe.
 */
public final class Closer implements AutoCloseable {

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Registers a resource to be closed.
	 * @param resource the resource
	 * @param <T> its type
	 * @return the same resource
	 */
	public synchronized <T extends AutoCloseable> T register(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public synchronized void close() {
		RuntimeException first = null;
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				if (first == null) {
					first = new IllegalStateException("a resource could not be closed", ex);
				}
				else {
					first.addSuppressed(ex);
				}
			}
		}
		if (first != null) {
			throw first;
		}
	}

}
