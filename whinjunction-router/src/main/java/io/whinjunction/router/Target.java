package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * Where an attempt goes. Immutable.
 *
 * @param first the upstream that the request is sent to
 * @param path the engines it passes through; empty for a plain service
 */
record Target(Upstream first, List<Hop> path) {

	/**
	 * The engines of the path.
	 * @return their incarnations in order
	 */
	List<String> engineIds() {
		List<String> ids = new ArrayList<>(this.path.size());
		for (Hop hop : this.path) {
			ids.add(hop.engine().id());
		}
		return ids;
	}

	/**
	 * How often a path changes between failure domains.
	 * @param path the path
	 * @return the number of hops that lie in another one than the hop before
	 */
	static int domainChanges(List<Hop> path) {
		int changes = 0;
		for (int index = 1; index < path.size(); index++) {
			String before = path.get(index - 1).engine().failureDomain();
			changes += path.get(index).engine().failureDomain().equals(before) ? 0 : 1;
		}
		return changes;
	}

}
