package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * The upstream and path of an attempt. Immutable.
 *
 * @param first the upstream that the request is sent to
 * @param path the engines that the request passes through; empty for a plain service
 */
record Target(Upstream first, List<Hop> path) {

	/**
	 * Returns the engines of the path.
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

}
