package io.whinjunction.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.whinjunction.priority.RequestRank;

/**
 * One version of the routing configuration: the single model that all components read.
 * <p>
 * Immutable and thread-safe: the indexes are built from the lists once and never change.
 */
public final class RoutingConfiguration {

	private final long version;

	private final CallerLimits limits;

	private final boolean keysRequired;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, RoutedService> services = new HashMap<>();

	private final Map<String, RoutedTeam> teamsByKey = new HashMap<>();

	/** Ranks of the requests that stream from a service, by its name. */
	private final Map<String, Set<Integer>> streamRanks = new HashMap<>();

	/**
	 * Creates a version.
	 * @param version the version number; versions only increase
	 * @param routes all routes
	 * @param services all services
	 * @param limits the limits on what callers may send
	 * @param keysRequired whether requests need a key, although no team may have one
	 * @param teams all teams
	 */
	public RoutingConfiguration(long version, List<Route> routes, List<RoutedService> services, CallerLimits limits,
			boolean keysRequired, List<RoutedTeam> teams) {
		this.version = version;
		this.limits = limits;
		this.keysRequired = keysRequired;
		for (Route route : routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> route.pathPrefix().length())
			.reversed();
		this.routesByHost.values().forEach((ofHost) -> ofHost.sort(longestFirst));
		services.forEach((service) -> this.services.put(service.name(), service));
		teams.forEach((team) -> team.keys().forEach((key) -> this.teamsByKey.put(key, team)));
		Set<Integer> teamRanks = new TreeSet<>();
		teams.stream()
			.filter((team) -> team.priority() >= 0)
			.forEach((team) -> teamRanks.add(RequestRank.of(team.priority())));
		routes.stream()
			.filter((route) -> route.kind() == RequestKind.STREAMING)
			.forEach((route) -> addStreamRanks(route, teamRanks));
	}

	private void addStreamRanks(Route route, Set<Integer> teamRanks) {
		for (WeightedService weighted : route.split()) {
			Set<Integer> ranks = this.streamRanks.computeIfAbsent(weighted.service(), (name) -> new TreeSet<>());
			ranks.add(RequestRank.of(route.limits().priority()));
			if (!route.anonymous()) {
				ranks.addAll(teamRanks);
			}
		}
	}

	/**
	 * Returns whether requests of different ranks compete for a service.
	 * @param service the name of the service
	 * @return whether its streaming routes, or the teams that may use them, have
	 * different priorities
	 */
	public boolean ranked(String service) {
		return this.streamRanks.getOrDefault(service, Set.of()).size() > 1;
	}

	/**
	 * Returns the version number.
	 * @return the number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on what callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns whether requests on routes that are not anonymous need a key.
	 * @return whether the configuration has a list of teams, even an empty one
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

	/**
	 * Returns the route with the longest prefix of the path.
	 * @param host the {@code Host} header
	 * @param path the path with or without a query
	 * @return the route, or {@code null}
	 */
	public Route route(String host, String path) {
		for (Route route : this.routesByHost.getOrDefault(host, List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Returns a service by name.
	 * @param name the name
	 * @return the service, or {@code null}
	 */
	public RoutedService service(String name) {
		return this.services.get(name);
	}

	/**
	 * Returns all services.
	 * @return the services
	 */
	public Iterable<RoutedService> services() {
		return this.services.values();
	}

	/**
	 * Returns the team that owns a key.
	 * @param key the key
	 * @return the team, or {@code null}
	 */
	public RoutedTeam teamOf(String key) {
		return (key != null) ? this.teamsByKey.get(key) : null;
	}

}
