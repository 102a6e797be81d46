package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.whinjunction.configuration.LayerRange;

/**
 * Plan of how many replicas of a model the engines of one failure domain should hold, and
 * which engine holds which layers if all of them are empty.
 * <p>
 * Each candidate is rated by the request rate that it sustains ({@link ChainForecast}).
 * Layers are assigned one by one to the engine that keeps the most free capacity, so that
 * no engine is full while others are half empty. Among candidates that sustain nearly the
 * same rate, the one that leaves the most engines empty is chosen, since an empty engine
 * replaces a lost one within its load time.
 * <p>
 * Invariant: the same engines give the same plan regardless of their order. Immutable.
 *
 * @param replicas the number of times each layer should be held in the failure domain; 0
 * if the model does not fit
 * @param placements which engine holds which layers
 */
public record DomainPlan(int replicas, List<Placement> placements) {

	private static final Comparator<EngineKind> FASTEST_FIRST = Comparator.comparingDouble(EngineKind::stepFactor)
		.thenComparing(EngineKind::name);

	/** Plan for a failure domain in which the model does not fit. */
	public static final DomainPlan NONE = new DomainPlan(0, List.of());

	/**
	 * Ratio of the best rate that a plan must sustain to be chosen for its spare engines:
	 * a loss costs its replica's whole rate for a load time, and the last quarter of the
	 * rate is needed at peaks only.
	 */
	private static final double MIN_RATE_RATIO = 0.8;

	/**
	 * Capacity that every engine keeps, in tokens: about a dozen requests of a thousand
	 * tokens. Below this, one more request is as likely refused as accepted.
	 */
	private static final long RESERVE_TOKENS = 12_000;

	/**
	 * The number of engines is varied in steps of a quarter of the replicas: one engine
	 * more or less changes a replica's rate little, and the number of plans to rate grows
	 * with the square of the number of engines.
	 */
	private static final int STEPS_PER_REPLICA = 4;

	/**
	 * Ratio of the engines that further replicas leave empty: a rack of a failure domain
	 * can be lost at once, and empty engines replace it.
	 */
	private static final double SPARE_RATIO = 0.2;

	/**
	 * Plans a failure domain.
	 * @param profile the model
	 * @param engines the failure domain's engines that are not leaving
	 * @return the plan
	 */
	public static DomainPlan of(ModelProfile profile, List<Engine> engines) {
		List<Engine> sorted = engines.stream()
			.sorted(Comparator.comparing(Engine::kind, FASTEST_FIRST).thenComparing(Engine::id))
			.toList();
		List<Placement> placements = new ArrayList<>();
		int replicas = 0;
		int first = 0;
		for (Option option : options(profile, sorted.stream().map(Engine::kind).toList())) {
			placements.addAll(placements(profile, sorted.subList(first, first + option.used()), option.replicas()));
			replicas += option.replicas();
			first += option.used();
		}
		return (replicas > 0) ? new DomainPlan(replicas, List.copyOf(placements)) : NONE;
	}

	/**
	 * Returns how often each layer should be held, regardless of what is held now.
	 * @param profile the model
	 * @param engines the failure domain's engines that are not leaving
	 * @return the number of replicas; 0 if the model does not fit
	 */
	static int replicas(ModelProfile profile, List<Engine> engines) {
		List<EngineKind> kinds = engines.stream().map(Engine::kind).sorted(FASTEST_FIRST).toList();
		return options(profile, kinds).stream().mapToInt(Option::replicas).sum();
	}

	// Returns the best way to divide all engines, then further replicas from the
	// engines it leaves empty.
	private static List<Option> options(ModelProfile profile, List<EngineKind> sorted) {
		List<Option> options = new ArrayList<>();
		int end = sorted.size() - (int) Math.ceil(SPARE_RATIO * sorted.size());
		int first = 0;
		Option option = new Search(profile, sorted).best();
		while (option != null) {
			options.add(option);
			first += option.used();
			option = (first < end) ? new Search(profile, sorted.subList(first, end)).best() : null;
		}
		return options;
	}

	private static List<Placement> placements(ModelProfile profile, List<Engine> engines, int replicas) {
		List<Placement> placements = new ArrayList<>();
		for (int replica = 0; replica < replicas; replica++) {
			List<Engine> members = new ArrayList<>();
			for (int index = replica; index < engines.size(); index += replicas) {
				members.add(engines.get(index));
			}
			int[] held = assignLayers(profile, members.stream().map(Engine::kind).toList());
			placements.addAll(inOrder(members, held));
		}
		return placements;
	}

	private static int[] assignLayers(ModelProfile profile, List<EngineKind> members) {
		if (members.size() > PathFinder.MOST_HOPS) {
			return null;
		}
		int[] held = new int[members.size()];
		for (int layer = 0; layer < profile.layers(); layer++) {
			int largest = -1;
			long largestTokens = RESERVE_TOKENS;
			for (int index = 0; index < held.length; index++) {
				long tokens = profile.kvCapacityTokens(members.get(index), held[index] + 1);
				if (tokens > largestTokens) {
					largestTokens = tokens;
					largest = index;
				}
			}
			if (largest < 0) {
				return null;
			}
			held[largest]++;
		}
		return held;
	}

	private static List<Placement> inOrder(List<Engine> members, int[] held) {
		List<Placement> placements = new ArrayList<>();
		int first = 0;
		for (int index = 0; index < held.length; index++) {
			if (held[index] > 0) {
				placements.add(new Placement(members.get(index), new LayerRange(first, first + held[index])));
				first += held[index];
			}
		}
		return placements;
	}

	/**
	 * A way to divide engines, sorted fastest first and dealt to replicas in turn.
	 *
	 * @param replicas the number of replicas
	 * @param used the number of engines that hold layers
	 * @param rate the sustained requests per second
	 */
	private record Option(int replicas, int used, double rate) {
	}

	/**
	 * Rates the ways to divide engines; confined to its caller. Replicas that consist of
	 * the same kinds are rated once: of 522 engines of three kinds, a few hundred
	 * different replicas remain.
	 */
	private static final class Search {

		private final ModelProfile profile;

		private final List<EngineKind> sorted;

		/** Start index of each kind in {@link #sorted}, followed by the end index. */
		private final int[] bounds;

		private final Map<Composition, Double> rates = new HashMap<>();

		Search(ModelProfile profile, List<EngineKind> sorted) {
			this.profile = profile;
			this.sorted = sorted;
			List<Integer> found = new ArrayList<>();
			for (int index = 0; index < sorted.size(); index++) {
				if (index == 0 || !sorted.get(index).equals(sorted.get(index - 1))) {
					found.add(index);
				}
			}
			found.add(sorted.size());
			this.bounds = found.stream().mapToInt(Integer::intValue).toArray();
		}

		Option best() {
			List<Option> options = new ArrayList<>();
			for (int replicas = 1; replicas <= maxReplicas(); replicas++) {
				int step = Math.max(1, replicas / STEPS_PER_REPLICA);
				int maxUsed = Math.min(this.sorted.size(), replicas * PathFinder.MOST_HOPS);
				for (int used = replicas; used <= maxUsed; used += step) {
					double rate = rate(replicas, used);
					if (rate > 0) {
						options.add(new Option(replicas, used, rate));
					}
				}
			}
			double bestRate = options.stream().mapToDouble(Option::rate).max().orElse(0);
			return options.stream()
				.filter((option) -> option.rate() >= MIN_RATE_RATIO * bestRate)
				.min(Comparator.comparingInt(Option::used)
					.thenComparing(Comparator.comparingDouble(Option::rate).reversed()))
				.orElse(null);
		}

		private int maxReplicas() {
			int layers = this.sorted.stream().mapToInt((kind) -> this.profile.maxLayers(kind, RESERVE_TOKENS)).sum();
			return layers / this.profile.layers();
		}

		private double rate(int replicas, int used) {
			double sum = 0;
			for (int replica = 0; replica < replicas; replica++) {
				double rate = this.rates.computeIfAbsent(composition(replica, replicas, used), this::rate);
				if (rate == 0) {
					return 0;
				}
				sum += rate;
			}
			return sum;
		}

		private Composition composition(int replica, int replicas, int used) {
			int[] counts = new int[this.bounds.length - 1];
			for (int kind = 0; kind < counts.length; kind++) {
				int end = Math.min(used, this.bounds[kind + 1]);
				counts[kind] = Math.max(0, dealt(end, replica, replicas) - dealt(this.bounds[kind], replica, replicas));
			}
			return new Composition(counts);
		}

		// Returns how many of the first engines are dealt to a replica.
		private static int dealt(int engines, int replica, int replicas) {
			return (engines <= replica) ? 0 : (engines - replica + replicas - 1) / replicas;
		}

		private double rate(Composition composition) {
			List<EngineKind> members = new ArrayList<>();
			for (int kind = 0; kind < composition.counts.length; kind++) {
				for (int count = 0; count < composition.counts[kind]; count++) {
					members.add(this.sorted.get(this.bounds[kind]));
				}
			}
			int[] held = assignLayers(this.profile, members);
			if (held == null) {
				return 0;
			}
			List<ChainForecast.Stage> stages = new ArrayList<>();
			for (int index = 0; index < held.length; index++) {
				if (held[index] > 0) {
					stages.add(new ChainForecast.Stage(members.get(index), held[index]));
				}
			}
			return ChainForecast.capacity(this.profile, stages);
		}

	}

	/** Number of engines of each kind in a replica; immutable. */
	private static final class Composition {

		private final int[] counts;

		Composition(int[] counts) {
			this.counts = counts;
		}

		@Override
		public boolean equals(Object other) {
			return other instanceof Composition that && Arrays.equals(this.counts, that.counts);
		}

		@Override
		public int hashCode() {
			return Arrays.hashCode(this.counts);
		}

	}

}
