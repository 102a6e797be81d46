package io.whinjunction.bench;

/**
 * Scenario of {@link ChainEmulator}: its load and its faults. Immutable.
 *
 * @param domains the number of failure domains
 * @param routers the number of routers, which choose independently
 * @param requestsPerSecond the request rate of all routers together
 * @param burstFactor the factor on the request rate in the fourth sixth of the run
 * @param crashes the number of engines that crash after a third of the run
 * @param slowedEngines the number of engines that are five times slower from the same
 * moment on
 * @param maxReportAgeMs the maximum age of the loads that routers have, in milliseconds
 * @param durationMs the time during which requests arrive, in milliseconds
 * @param seed the seed of the random numbers
 */
record ChainScenario(int domains, int routers, double requestsPerSecond, double burstFactor, int crashes,
		int slowedEngines, double maxReportAgeMs, double durationMs, long seed) {
}
