package io.whinjunction.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One version of what operators want: the single model that everything reads.
 * <p>
 * Invariant: the indexes are built from the lists once and nothing changes afterwards, so
 * it is safe for all threads.
 */
public final class RoutingConfiguration {

	private final long version;

	private final CallerLimits limits;

	private final boolean keysRequired;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, RoutedService> services = new HashMap<>();

	private final Map<String, RoutedTeam> teamsByKey = new HashMap<>();

	/**
	 * A version.
	 * @param version its number; versions only go up
	 * @param routes all routes
	 * @param services all services
	 * @param limits what callers may send
	 * @param teams all teams; where there are none, no request needs a key
	 */
	public RoutingConfiguration(long version, List<Route> routes, List<RoutedService> services, CallerLimits limits,
			List<RoutedTeam> teams) {
		this.version = version;
		this.limits = limits;
		this.keysRequired = !teams.isEmpty();
		for (Route route : routes) {
			this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> route.pathPrefix().length())
			.reversed();
		this.routesByHost.values().forEach((ofHost) -> ofHost.sort(longestFirst));
		services.forEach((service) -> this.services.put(service.name(), service));
		teams.forEach((team) -> team.keys().forEach((key) -> this.teamsByKey.put(key, team)));
	}

	/**
	 * The version.
	 * @return its number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * What callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Whether requests on routes that are not anonymous need a key.
	 * @return {@code true} where there are teams
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

	/**
	 * The route with the longest prefix that begins the path.
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
	 * A service by name.
	 * @param name the name
	 * @return the service, or {@code null}
	 */
	public RoutedService service(String name) {
		return this.services.get(name);
	}

	/**
	 * All services.
	 * @return the services
	 */
	public Iterable<RoutedService> services() {
		return this.services.values();
	}

	/**
	 * The team that holds a key.
	 * @param key the key
	 * @return the team, or {@code null}
	 */
	public RoutedTeam teamOf(String key) {
		return (key != null) ? this.teamsByKey.get(key) : null;
	}

}
