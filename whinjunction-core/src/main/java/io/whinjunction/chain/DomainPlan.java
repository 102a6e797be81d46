package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.whinjunction.configuration.LayerRange;

/**
 * How many replicas of a model the engines of one failure domain should hold, and which
 * engine holds which layers where all of them are empty.
 * <p>
 * Each way to do it is rated by the requests a second that it carries
 * ({@link ChainForecast}). Layers go one by one to the engine that keeps the most room,
 * so that no engine is full while others are half empty. Among ways that carry nearly as
 * much, the one with the most engines left empty is taken, since an empty engine takes
 * over for a lost one within its load time.
 * <p>
 * Invariant: the same engines give the same plan whatever their order. Immutable.
 *
 * @param replicas how often each layer should be held in the failure domain; 0 where the
 * model doesn't fit
 * @param placements which engine holds which layers
 */
public record DomainPlan(int replicas, List<Placement> placements) {

	private static final Comparator<EngineKind> FASTEST_FIRST = Comparator.comparingDouble(EngineKind::stepFactor)
		.thenComparing(EngineKind::name);

	/** A plan for a failure domain in which the model doesn't fit. */
	public static final DomainPlan NONE = new DomainPlan(0, List.of());

	/**
	 * How much of the best rate a plan must carry to be taken for its spare engines: a
	 * loss costs its replica's whole rate for a load time, and the last quarter of the
	 * rate is needed at peaks only.
	 */
	private static final double ENOUGH_RATE = 0.8;

	/**
	 * Room that every engine keeps, in tokens: about a dozen requests of a thousand
	 * tokens, below which one more request is as likely refused as taken.
	 */
	private static final long RESERVE_TOKENS = 12_000;

	/**
	 * Engines are tried by steps of a quarter of the replicas: one engine more or less
	 * changes a replica's rate little, and the plans to rate grow with the square of the
	 * engines.
	 */
	private static final int STEPS_PER_REPLICA = 4;

	/**
	 * The part of the engines that further replicas leave empty: a rack of a failure
	 * domain can be lost at once, and what is empty takes its place.
	 */
	private static final double SPARE_PART = 0.2;

	/**
	 * Plans a failure domain.
	 * @param profile the model
	 * @param engines the failure domain's engines that stay
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
	 * How often each layer should be held, whatever is held now.
	 * @param profile the model
	 * @param engines the failure domain's engines that stay
	 * @return how often; 0 where the model doesn't fit
	 */
	static int replicas(ModelProfile profile, List<Engine> engines) {
		List<EngineKind> kinds = engines.stream().map(Engine::kind).sorted(FASTEST_FIRST).toList();
		return options(profile, kinds).stream().mapToInt(Option::replicas).sum();
	}

	// The best way to divide all engines, then more replicas of what it leaves over.
	private static List<Option> options(ModelProfile profile, List<EngineKind> sorted) {
		List<Option> options = new ArrayList<>();
		int end = sorted.size() - (int) Math.ceil(SPARE_PART * sorted.size());
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
			int[] held = share(profile, members.stream().map(Engine::kind).toList());
			placements.addAll(inOrder(members, held));
		}
		return placements;
	}

	private static int[] share(ModelProfile profile, List<EngineKind> members) {
		if (members.size() > PathFinder.MOST_HOPS) {
			return null;
		}
		int[] held = new int[members.size()];
		for (int layer = 0; layer < profile.layers(); layer++) {
			int roomiest = -1;
			long mostRoom = RESERVE_TOKENS;
			for (int index = 0; index < held.length; index++) {
				long room = profile.kvCapacityTokens(members.get(index), held[index] + 1);
				if (room > mostRoom) {
					mostRoom = room;
					roomiest = index;
				}
			}
			if (roomiest < 0) {
				return null;
			}
			held[roomiest]++;
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
	 * A way to divide engines, the fastest first, dealt to replicas in turn.
	 *
	 * @param replicas how many replicas
	 * @param used how many engines hold layers
	 * @param rate requests a second that it carries
	 */
	private record Option(int replicas, int used, double rate) {
	}

	/**
	 * Tries the ways to divide engines; confined to its caller. Replicas that consist of
	 * the same kinds are rated once: of 522 engines of three kinds, a few hundred
	 * different replicas remain.
	 */
	private static final class Search {

		private final ModelProfile profile;

		private final List<EngineKind> sorted;

		/** Where each kind begins in {@link #sorted}, and its end. */
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
			for (int replicas = 1; replicas <= mostReplicas(); replicas++) {
				int step = Math.max(1, replicas / STEPS_PER_REPLICA);
				int longest = Math.min(this.sorted.size(), replicas * PathFinder.MOST_HOPS);
				for (int used = replicas; used <= longest; used += step) {
					double rate = rate(replicas, used);
					if (rate > 0) {
						options.add(new Option(replicas, used, rate));
					}
				}
			}
			double bestRate = options.stream().mapToDouble(Option::rate).max().orElse(0);
			return options.stream()
				.filter((option) -> option.rate() >= ENOUGH_RATE * bestRate)
				.min(Comparator.comparingInt(Option::used)
					.thenComparing(Comparator.comparingDouble(Option::rate).reversed()))
				.orElse(null);
		}

		private int mostReplicas() {
			int layers = this.sorted.stream().mapToInt((kind) -> this.profile.mostLayers(kind, RESERVE_TOKENS)).sum();
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

		// How many of the first engines are dealt to a replica.
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
			int[] held = share(this.profile, members);
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

	/** How many engines of each kind a replica has; immutable. */
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
