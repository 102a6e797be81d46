package io.whinjunction.configuration;

import java.util.Map;
import java.util.Optional;

/**
 * The one model of the configuration that everything reads. Built whole by
 * {@link ConfigurationReader}, then immutable.
 *
 * @param revision its revision; goes up by one with each accepted change
 * @param places the places by name
 * @param services the services by name
 * @param teams the teams by name
 */
public record Configuration(long revision, Map<String, Place> places, Map<String, Service> services,
		Map<String, Team> teams) {

	/** What an entry holds before it has seen a manifest: it permits nothing. */
	public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of());

	/**
	 * The place that a failure domain lies in.
	 * @param failureDomain the failure domain
	 * @return its place, or empty where no place names it
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
