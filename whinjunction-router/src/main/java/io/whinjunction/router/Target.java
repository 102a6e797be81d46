package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * Where an attempt is sent. Immutable.
 */
sealed interface Target {

	/**
	 * Returns the process that the request is sent to.
	 * @return an upstream, or a router for a relay
	 */
	Upstream first();

	/**
	 * Returns the engines that the request passes through, as far as this router chose
	 * them.
	 * @return the hops; empty for a plain service and for a relay
	 */
	List<Hop> path();

	/**
	 * Returns the engines of the path.
	 * @return their incarnations in order
	 */
	default List<String> engineIds() {
		List<String> ids = new ArrayList<>(path().size());
		for (Hop hop : path()) {
			ids.add(hop.engine().id());
		}
		return ids;
	}

	/**
	 * Counts the changes of failure domain along a path.
	 * @param path the path
	 * @return the number of hops in another failure domain than the hop before
	 */
	static int domainChanges(List<Hop> path) {
		int changes = 0;
		for (int index = 1; index < path.size(); index++) {
			String before = path.get(index - 1).engine().failureDomain();
			changes += path.get(index).engine().failureDomain().equals(before) ? 0 : 1;
		}
		return changes;
	}

	/**
	 * An upstream that this router sends the request to itself.
	 *
	 * @param first the upstream that the request is sent to
	 * @param path the engines that the request passes through; empty for a plain service
	 */
	record Direct(Upstream first, List<Hop> path) implements Target {
	}

	/**
	 * A peer that sends the request to an upstream.
	 *
	 * @param first the peer
	 */
	record Relay(Upstream first) implements Target {

		@Override
		public List<Hop> path() {
			return List.of();
		}

	}

}
