package io.whinjunction.place;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.Place;
import io.whinjunction.configuration.Team;

/**
 * Decides where a team's data may be.
 * <p>
 * Invariant: anything not explicitly permitted is refused; an unknown failure domain and
 * a team without places permit nothing. Immutable and thread-safe.
 */
public final class PlaceRules {

	private final Map<String, String> placeByFailureDomain = new HashMap<>();

	public PlaceRules(Configuration configuration) {
		for (Place place : configuration.places().values()) {
			for (String failureDomain : place.failureDomains()) {
				this.placeByFailureDomain.put(failureDomain, place.name());
			}
		}
	}

	/**
	 * Returns whether a team's data may be in a failure domain.
	 * @param team the team
	 * @param failureDomain the location of the data
	 * @return {@code true} only if a rule permits it
	 */
	public boolean permits(Team team, String failureDomain) {
		return permits(team.places(), failureDomain);
	}

	/**
	 * Returns whether one of the permitted places contains a failure domain.
	 * @param places the permitted places
	 * @param failureDomain the location of the data
	 * @return {@code true} only if a rule permits it
	 */
	public boolean permits(Set<String> places, String failureDomain) {
		String place = this.placeByFailureDomain.get(failureDomain);
		return place != null && places.contains(place);
	}

}
