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
 * Invariant: what is not expressly permitted is refused; an unknown failure domain and a
 * team without places permit nothing. Immutable, safe for all threads.
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
	 * Whether a team's data may be in a failure domain.
	 * @param team the team
	 * @param failureDomain where the data would be
	 * @return {@code true} only where a rule says so
	 */
	public boolean permits(Team team, String failureDomain) {
		return permits(team.places(), failureDomain);
	}

	/**
	 * Whether one of some places holds a failure domain.
	 * @param places the permitted places
	 * @param failureDomain where the data would be
	 * @return {@code true} only where a rule says so
	 */
	public boolean permits(Set<String> places, String failureDomain) {
		String place = this.placeByFailureDomain.get(failureDomain);
		return place != null && places.contains(place);
	}

}
