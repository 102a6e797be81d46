package io.whinjunction.pipeline;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * How one upstream is chosen from several that may do the work. Each entry decides alone.
 * Implementations are safe for all threads.
 */
public sealed interface ChoicePolicy {

	/**
	 * The policy of the product; docs/DESIGN.md gives the figures that speak for it.
	 * @return a policy without state of its own
	 */
	static ChoicePolicy standard() {
		return new LeastExpectedDelay(1, Integer.MAX_VALUE, 0.5);
	}

	/**
	 * Chooses.
	 * @param candidates at least one upstream
	 * @param table this entry's observations
	 * @param random the source of chance
	 * @return one of the candidates
	 */
	default Upstream choose(List<Upstream> candidates, UpstreamTable table, RandomGenerator random) {
		return switch (this) {
			case Uniform ignored -> candidates.get(random.nextInt(candidates.size()));
			case RoundRobin turn -> candidates.get(Math.floorMod(turn.next.getAndIncrement(), candidates.size()));
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

	/**
	 * Any of them, by chance.
	 */
	record Uniform() implements ChoicePolicy {
	}

	/**
	 * One after the other.
	 *
	 * @param next the counter
	 */
	record RoundRobin(AtomicInteger next) implements ChoicePolicy {
	}

	/**
	 * The one with the least work of this entry.
	 */
	record LeastInFlight() implements ChoicePolicy {
	}

	/**
	 * The one expected to be done first. The expected delay is the work that stands in
	 * front, counted as this entry's own in-flight work times the number of entries plus
	 * one, over the upstream's rate, with the measured step time as a floor. Load reports
	 * lag, so they only raise the estimate, weighted down.
	 *
	 * @param entryCount how many entries decide at the same time
	 * @param choices how many candidates are compared, drawn by chance; all where it is
	 * at least their number
	 * @param reportWeight how much the lagging report counts, from 0 to 1
	 */
	record LeastExpectedDelay(int entryCount, int choices, double reportWeight) implements ChoicePolicy {

		private static final double UNKNOWN_RATE = 1000;

		private Upstream leastDelay(List<Upstream> candidates, UpstreamTable table, RandomGenerator random) {
			int size = candidates.size();
			int compared = Math.min(this.choices, size);
			int offset = random.nextInt(size);
			int stride = (compared < size) ? 1 + random.nextInt(size - 1) : 1;
			Upstream best = null;
			double least = Double.MAX_VALUE;
			for (int i = 0; i < compared; i++) {
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
			double inFront = own * this.entryCount;
			double reported = Math.max(inFront, upstream.reportedRunning());
			double expected = inFront + this.reportWeight * (reported - inFront);
			return Math.max((expected + 1) * 1000 / rate, load.smoothedMs() * (1 + own));
		}
	}

}
