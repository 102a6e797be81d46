package io.whinjunction.pipeline;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Policy for choosing one upstream from several suitable ones. Each entry decides
 * independently. Implementations are thread-safe.
 */
public sealed interface ChoicePolicy {

	/**
	 * Returns the default policy; docs/DESIGN.md has the figures behind it.
	 * @return a policy without state of its own
	 */
	static ChoicePolicy standard() {
		return new LeastExpectedDelay(1, Integer.MAX_VALUE, 0.5);
	}

	/**
	 * Chooses an upstream.
	 * @param candidates at least one upstream
	 * @param table this entry's observations
	 * @param random the source of randomness
	 * @return one of the candidates
	 */
	default Upstream choose(List<Upstream> candidates, UpstreamTable table, RandomGenerator random) {
		return switch (this) {
			case Uniform ignored -> candidates.get(random.nextInt(candidates.size()));
			case RoundRobin roundRobin ->
				candidates.get(Math.floorMod(roundRobin.next.getAndIncrement(), candidates.size()));
			case LeastInFlight ignored -> leastInFlight(candidates, table, random);
			case LeastExpectedDelay policy -> policy.leastDelay(candidates, table, random);
		};
	}

	private static Upstream leastInFlight(List<Upstream> candidates, UpstreamTable table, RandomGenerator random) {
		Upstream best = null;
		int least = Integer.MAX_VALUE;
		int offset = random.nextInt(candidates.size());
		for (int i = 0; i < candidates.size(); i++) {
			Upstream candidate = candidates.get((i + offset) % candidates.size());
			int inFlight = table.load(candidate.id()).inFlight();
			if (inFlight < least) {
				least = inFlight;
				best = candidate;
			}
		}
		return best;
	}

	/** Chooses a candidate uniformly at random. */
	record Uniform() implements ChoicePolicy {
	}

	/**
	 * Chooses the candidates in roundRobin.
	 *
	 * @param next the counter
	 */
	record RoundRobin(AtomicInteger next) implements ChoicePolicy {
	}

	/** Chooses the candidate with the least work in flight from this entry. */
	record LeastInFlight() implements ChoicePolicy {
	}

	/**
	 * Chooses the candidate with the least expected delay. The expected delay is the
	 * queued work, estimated as this entry's own in-flight work times the number of
	 * entries plus one, divided by the upstream's rate, with the measured step time as a
	 * lower bound. Load reports lag, so they only raise the estimate, and with a reduced
	 * weight.
	 *
	 * @param entryCount the number of entries that decide at the same time
	 * @param choices the number of candidates sampleSize, drawn at random; all if it is
	 * at least their number
	 * @param reportWeight the weight of the lagging report, from 0 to 1
	 */
	record LeastExpectedDelay(int entryCount, int choices, double reportWeight) implements ChoicePolicy {

		private static final double UNKNOWN_RATE = 1000;

		private Upstream leastDelay(List<Upstream> candidates, UpstreamTable table, RandomGenerator random) {
			int size = candidates.size();
			int sampleSize = Math.min(this.choices, size);
			int offset = random.nextInt(size);
			int stride = (sampleSize < size) ? 1 + random.nextInt(size - 1) : 1;
			Upstream best = null;
			double least = Double.MAX_VALUE;
			for (int i = 0; i < sampleSize; i++) {
				Upstream candidate = candidates.get((int) ((offset + (long) i * stride) % size));
				double delayMs = expectedDelayMs(candidate, table.load(candidate.id()));
				if (delayMs < least) {
					least = delayMs;
					best = candidate;
				}
			}
			return best;
		}

		double expectedDelayMs(Upstream upstream, UpstreamLoad load) {
			double rate = (upstream.tokensPerSecond() > 0) ? upstream.tokensPerSecond() : UNKNOWN_RATE;
			double own = load.inFlight();
			double queued = own * this.entryCount;
			double reported = Math.max(queued, upstream.reportedRunning());
			double expected = queued + this.reportWeight * (reported - queued);
			return Math.max((expected + 1) * 1000 / rate, load.smoothedMs() * (1 + own));
		}
	}

}
