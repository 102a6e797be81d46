package io.whinjunction.place;

import io.whinjunction.configuration.Team;

/**
 * Where a team's data may be, by one revision of the configuration. Immutable; the same
 * object is returned as long as nothing changes.
 *
 * @param team the team, with its places
 * @param rules the place rules
 */
public record Placement(Team team, PlaceRules rules) {

	/**
	 * Returns whether the team's data may be in a failure domain.
	 * @param failureDomain the location of the data
	 * @return {@code true} only if a rule permits it
	 */
	public boolean permits(String failureDomain) {
		return this.rules.permits(this.team, failureDomain);
	}

}
