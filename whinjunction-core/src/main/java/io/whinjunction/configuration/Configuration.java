package io.whinjunction.configuration;

import java.util.Map;
import java.util.Optional;

/**
 * The configuration model shared by all components. Built completely by
 * {@link ConfigurationReader}; immutable.
 *
 * @param revision the revision; incremented by one with each accepted change
 * @param places the places by name
 * @param services the services by name
 * @param teams the teams by name
 */
public record Configuration(long revision, Map<String, Place> places, Map<String, Service> services,
		Map<String, Team> teams) {

	/**
	 * The configuration of an entry that has not received a manifest yet; it permits
	 * nothing.
	 */
	public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of());

	/**
	 * Returns the place that contains a failure domain.
	 * @param failureDomain the failure domain
	 * @return its place, or empty if no place lists it
	 */
	public Optional<Place> placeOf(String failureDomain) {
		for (Place place : this.places.values()) {
			if (place.failureDomains().contains(failureDomain)) {
				return Optional.of(place);
			}
		}
		return Optional.empty();
	}

}
