package io.whinjunction.configuration;

import java.util.Set;

/**
 * A group of callers with one key set, one limit and one rule. Immutable.
 *
 * @param name its name
 * @param keyHashes SHA-256 of its keys, in lower-case hexadecimal
 * @param services the services it may use
 * @param places where its data may be; never empty
 * @param ratePerSecond how many requests a second it may start, over all entries
 * @param weight its part of a scarce service against other teams
 */
public record Team(String name, Set<String> keyHashes, Set<String> services, Set<String> places, double ratePerSecond,
		int weight) {
}
