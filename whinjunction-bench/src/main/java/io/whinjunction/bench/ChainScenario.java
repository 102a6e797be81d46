package io.whinjunction.bench;

/**
 * A scenario of {@link ChainEmulator}: load, and what fails. Immutable.
 *
 * @param domains failure domains
 * @param routers routers that choose alone
 * @param requestsPerSecond requests a second in all
 * @param burstFactor how many times more come in the fourth sixth of it
 * @param crashes engines that die after a third of it
 * @param slowedEngines engines that work five times slower from then on
 * @param maxReportAgeMs how old at most is what routers know of loads, in milliseconds
 * @param durationMs how long requests come, in milliseconds
 * @param seed the source of chance
 */
record ChainScenario(int domains, int routers, double requestsPerSecond, double burstFactor, int crashes, int slowedEngines,
		double maxReportAgeMs, double durationMs, long seed) {
}
