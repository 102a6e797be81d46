package io.whinjunction.configuration;

import java.util.Set;

/**
 * A group of callers that share keys, a rate limit and a place rule. Immutable.
 *
 * @param name its name
 * @param keyHashes SHA-256 of its keys, in lower-case hexadecimal
 * @param services the services it may use
 * @param places the places where its data may be; never empty
 * @param ratePerSecond the maximum number of requests per second, over all entries
 * @param weight its relative share of a scarce service
 */
public record Team(String name, Set<String> keyHashes, Set<String> services, Set<String> places, double ratePerSecond,
		int weight) {
}
