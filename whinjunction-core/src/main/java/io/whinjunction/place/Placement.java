package io.whinjunction.place;

import io.whinjunction.configuration.Team;

/**
 * Where a team's data may be by one revision of the configuration. Immutable; the same
 * object is handed out as long as nothing changes.
 *
 * @param team the team, with its places
 * @param rules the place rules
 */
public record Placement(Team team, PlaceRules rules) {

	/**
	 * Whether the team's data may be in a failure domain.
	 * @param failureDomain where the data would be
	 * @return {@code true} only where a rule says so
	 */
	public boolean permits(String failureDomain) {
		return this.rules.permits(this.team, failureDomain);
	}

}
