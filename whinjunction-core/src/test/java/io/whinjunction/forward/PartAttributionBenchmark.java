package io.whinjunction.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.whinjunction.forward.PartCrashSimulation.Attribution;
import io.whinjunction.forward.PartCrashSimulation.Day;
import io.whinjunction.forward.PartCrashSimulation.Kill;
import io.whinjunction.forward.PartCrashSimulation.Result;

/**
 * Compares ways to attribute crashes to parts of prompts, on generated days. Run by hand:
 * {@code PartAttributionBenchmark [SEEDS]}.
 */
public final class PartAttributionBenchmark {

	private static final Map<String, Supplier<Attribution>> WAYS = Map.of("1 count", () -> new Counting(false, false),
			"2 count, successes clear", () -> new Counting(true, false), "3 likelihood", () -> new Counting(true, true),
			"4 product", PartCrashSimulation.Product::new);

	private PartAttributionBenchmark() {
	}

	public static void main(String[] args) {
		int seeds = (args.length > 0) ? Integer.parseInt(args[0]) : 50;
		Map<String, Day> days = Map.of("a from the start",
				new Day(7, 8, 40_000, 60, 60, 2, 0.3, 300, 0.03, 500, true, List.of()), "b engines end singly",
				day(0, false,
						List.of(new Kill(8000, 1, 1, 0), new Kill(12_000, 4, 1, 0), new Kill(16_000, 2, 1, 0),
								new Kill(20_000, 0, 1, 0), new Kill(24_000, 3, 1, 0), new Kill(28_000, 5, 1, 0))),
				"c a domain ends at once", day(0, false, List.of(new Kill(15_000, 0, 5, 0))), "d engines end in turn",
				day(0, false, List.of(new Kill(15_000, 0, 8, 250), new Kill(25_000, 2, 6, 120))), "e a crashing part",
				day(0.03, false, List.of()), "f and one first part", day(0.03, true, List.of()),
				"g and a domain at once", day(0.03, true, List.of(new Kill(15_000, 0, 5, 0))));
		System.out.printf("%-26s %-26s %8s %8s %12s %10s%n", "day", "way", "crashes", "late", "wrong parts", "refused");
		days.keySet().stream().sorted().forEach((day) -> WAYS.keySet().stream().sorted().forEach((way) -> {
			double[] sums = new double[4];
			for (int seed = 0; seed < seeds; seed++) {
				Result result = PartCrashSimulation.play(days.get(day), seed, WAYS.get(way));
				sums[0] += result.crashes();
				sums[1] += result.lateSends();
				sums[2] += result.wrongParts();
				sums[3] += (double) result.soundRefused() / result.sound();
			}
			System.out.printf("%-26s %-26s %8.2f %8.2f %12.3f %10.5f%n", day, way, sums[0] / seeds, sums[1] / seeds,
					sums[2] / seeds, sums[3] / seeds);
		}));
	}

	private static Day day(double crashingRatio, boolean oneFirstPart, List<Kill> kills) {
		return new Day(7, 8, 40_000, 60, 60, 2, 0.3, 300, crashingRatio, 10_000, oneFirstPart, kills);
	}

	/**
	 * Refuses a part by the number of upstreams that crashed while a request with it was
	 * starting, or by how unlikely that is for a part that is as frequent. Routers know
	 * at once what any of them sees.
	 */
	private static final class Counting implements Attribution {

		private static final int MAX_CRASHES = 3;

		/** A part is refused at odds of this logarithm. */
		private static final double MIN_LOG_ODDS = 7;

		private final boolean cleared;

		private final boolean weighted;

		private final Map<PromptPart, Map<String, Double>> crashes = new HashMap<>();

		private final Map<PromptPart, Integer> seen = new HashMap<>();

		private final Set<Object> told = new HashSet<>();

		private int requests;

		Counting(boolean cleared, boolean weighted) {
			this.cleared = cleared;
			this.weighted = weighted;
		}

		@Override
		public void crashed(PartCrashSimulation.Request request, CrashingParts.Crash crash, long nowMs) {
			for (PromptPart part : request.parts()) {
				double ratio = (1.0 + this.seen.getOrDefault(part, 0)) / (10.0 + this.requests);
				// About ten requests start at an engine at a time.
				double byChance = 1 - Math.pow(1 - Math.min(ratio, 0.99), 10);
				this.crashes.computeIfAbsent(part, (key) -> new HashMap<>())
					.merge(crash.upstream(), -Math.log(byChance), Math::max);
			}
		}

		@Override
		public void ranWell(List<PromptPart> parts, long begunAtMs, long nowMs) {
			this.requests++;
			for (PromptPart part : parts) {
				this.seen.merge(part, 1, Integer::sum);
				if (this.cleared) {
					this.crashes.remove(part);
				}
			}
		}

		@Override
		public boolean refuses(List<PromptPart> parts, long nowMs) {
			return parts.stream().anyMatch((part) -> {
				Map<String, Double> found = this.crashes.getOrDefault(part, Map.of());
				return this.weighted ? found.values().stream().mapToDouble(Double::doubleValue).sum() >= MIN_LOG_ODDS
						: found.size() >= MAX_CRASHES;
			});
		}

		@Override
		public void tell(Attribution peer, long nowMs) {
			Counting other = (Counting) peer;
			this.crashes.forEach((part, found) -> {
				if (other.told.add(List.of(part, found.keySet().hashCode()))) {
					other.crashes.computeIfAbsent(part, (key) -> new HashMap<>()).putAll(found);
				}
			});
		}

	}

}
