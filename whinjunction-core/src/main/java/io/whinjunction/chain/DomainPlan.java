package io.whinjunction.chain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.whinjunction.configuration.LayerRange;

/**
 * How many replicas of a model the engines of one failure domain should hold, and which
 * engine holds which layers where all of them are empty.
 * <p>
 * Each way to do it is rated by the tokens a second that it can carry: the room for
 * requests at its tightest engine over the time of a token step. Layers go one by one to
 * the engine that keeps the most room, so that no engine is full while others are half
 * empty. Among ways that carry nearly as much, the one with the most engines left empty
 * is taken, since an empty engine takes over for a lost one within its load time.
 * <p>
 * Invariant: the same engines give the same plan whatever their order. Immutable.
 *
 * @param replicas how often each layer should be held in the failure domain; 0 where the
 * model doesn't fit
 * @param placements which engine holds which layers
 */
public record DomainPlan(int replicas, List<Placement> placements) {

	/** A plan for a failure domain in which the model doesn't fit. */
	public static final DomainPlan NONE = new DomainPlan(0, List.of());

	/**
	 * How much of the best rate a plan must carry to be taken for its spare engines: a
	 * loss costs its replica's whole rate for a load time, and the last quarter of the
	 * rate is needed at peaks only.
	 */
	private static final double ENOUGH_RATE = 0.75;

	/**
	 * Room that every engine keeps, in tokens: about a dozen requests of a thousand
	 * tokens, below which one more request is as likely refused as taken.
	 */
	private static final long RESERVE_TOKENS = 12_000;

	/** A hop inside a failure domain, in milliseconds. */
	private static final double HOP_MS = 0.2;

	/** Requests that are taken to write at once when ways are compared. */
	private static final double USUAL_WRITING = 50;

	/** More replicas than this are not tried; room runs out long before. */
	private static final int MOST_REPLICAS = 12;

	/**
	 * Plans a failure domain.
	 * @param profile the model
	 * @param engines the failure domain's engines that stay
	 * @return the plan
	 */
	public static DomainPlan of(ModelProfile profile, List<Engine> engines) {
		List<Engine> sorted = engines.stream()
			.sorted(Comparator.comparingDouble((Engine engine) -> engine.kind().stepFactor()).thenComparing(Engine::id))
			.toList();
		List<Option> options = new ArrayList<>();
		for (int replicas = 1; replicas <= MOST_REPLICAS; replicas++) {
			for (int used = replicas; used <= sorted.size(); used++) {
				Option option = option(profile, sorted.subList(0, used), replicas);
				if (option != null) {
					options.add(option);
				}
			}
		}
		double bestRate = options.stream().mapToDouble(Option::rate).max().orElse(0);
		return options.stream()
			.filter((option) -> option.rate() >= ENOUGH_RATE * bestRate)
			.min(Comparator.comparingInt((Option option) -> option.placements().size())
				.thenComparing(Comparator.comparingDouble(Option::rate).reversed()))
			.map((option) -> new DomainPlan(option.replicas(), option.placements()))
			.orElse(NONE);
	}

	private static Option option(ModelProfile profile, List<Engine> engines, int replicas) {
		List<Placement> placements = new ArrayList<>();
		double rate = 0;
		for (int replica = 0; replica < replicas; replica++) {
			List<Engine> members = new ArrayList<>();
			for (int index = replica; index < engines.size(); index += replicas) {
				members.add(engines.get(index));
			}
			int[] held = share(profile, members);
			if (held == null) {
				return null;
			}
			rate += rate(profile, members, held);
			placements.addAll(inOrder(members, held));
		}
		return new Option(replicas, List.copyOf(placements), rate);
	}

	private static int[] share(ModelProfile profile, List<Engine> members) {
		if (members.size() > PathFinder.MOST_HOPS) {
			return null;
		}
		int[] held = new int[members.size()];
		for (int layer = 0; layer < profile.layers(); layer++) {
			int roomiest = -1;
			long mostRoom = RESERVE_TOKENS;
			for (int index = 0; index < held.length; index++) {
				long room = profile.roomTokens(members.get(index).kind(), held[index] + 1);
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

	private static double rate(ModelProfile profile, List<Engine> members, int[] held) {
		double stepMs = 0;
		long room = Long.MAX_VALUE;
		for (int index = 0; index < held.length; index++) {
			if (held[index] > 0) {
				EngineKind kind = members.get(index).kind();
				stepMs += HOP_MS + held[index] * profile.layerStepMs(kind, USUAL_WRITING);
				room = Math.min(room, profile.roomTokens(kind, held[index]));
			}
		}
		return room / stepMs;
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

	private record Option(int replicas, List<Placement> placements, double rate) {
	}

}
