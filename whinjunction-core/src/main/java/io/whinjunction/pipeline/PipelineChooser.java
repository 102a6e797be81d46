package io.whinjunction.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Service;
import io.whinjunction.place.Placement;
import io.whinjunction.time.Ticker;

/**
 * Chooses the upstreams of a request.
 * <p>
 * Invariants: no upstream outside the team's permitted places is ever chosen, whatever
 * other preferences apply, and none during a backoff that it requested. Thread-safe if
 * the random source is.
 */
public final class PipelineChooser {

	/**
	 * If more upstreams than this hold a range, this many are drawn at random and
	 * compared, so that the cost of a decision does not depend on the size of the fleet;
	 * docs/DESIGN.md has the figures.
	 */
	private static final int SAMPLE_SIZE = 16;

	private final UpstreamTable table;

	private final ChoicePolicy policy;

	private final Ticker ticker;

	private final RandomGenerator random;

	public PipelineChooser(UpstreamTable table, ChoicePolicy policy, Ticker ticker, RandomGenerator random) {
		this.table = table;
		this.policy = policy;
		this.ticker = ticker;
		this.random = random;
	}

	/**
	 * Chooses a pipeline for a model.
	 * @param model the model
	 * @param placement where the data may be
	 * @param avoided instances that already failed this request
	 * @return a pipeline, or the reason why there is none
	 */
	public Choice pipeline(Service.Model model, Placement placement, Set<String> avoided) {
		return pipeline(model, placement, avoided, true);
	}

	/**
	 * Chooses a pipeline for a draft that can wait: no upstream in backoff after a
	 * failure is used, even if there is no other.
	 * @param model the model
	 * @param placement where the data may be
	 * @return a pipeline, or the reason why there is none now
	 */
	public Choice rested(Service.Model model, Placement placement) {
		return pipeline(model, placement, Set.of(), false);
	}

	private Choice pipeline(Service.Model model, Placement placement, Set<String> avoided, boolean evenPaused) {
		List<Upstream> stages = new ArrayList<>(model.ranges().size());
		for (LayerRange range : model.ranges()) {
			Choice choice = chooseOne(this.table.byFailureDomain(model.name(), range), placement, avoided, evenPaused,
					"layers " + range);
			if (!(choice instanceof Choice.Chosen chosen)) {
				return choice;
			}
			stages.addAll(chosen.pipeline().stages());
		}
		return new Choice.Chosen(new Pipeline(List.copyOf(stages)));
	}

	/**
	 * Chooses an upstream of a plain service.
	 * @param service the service
	 * @param placement where the data may be
	 * @param avoided instances that already failed this request
	 * @return a pipeline of one stage, or the reason why there is none
	 */
	public Choice plain(Service.Plain service, Placement placement, Set<String> avoided) {
		return chooseOne(this.table.byFailureDomain(service.name(), null), placement, avoided, true,
				"service " + service.name());
	}

	private Choice chooseOne(Map<String, List<Upstream>> holders, Placement placement, Set<String> avoided,
			boolean evenPaused, String what) {
		List<List<Upstream>> permitted = new ArrayList<>(holders.size());
		int count = 0;
		for (Map.Entry<String, List<Upstream>> domain : holders.entrySet()) {
			if (placement.permits(domain.getKey())) {
				permitted.add(domain.getValue());
				count += domain.getValue().size();
			}
		}
		if (permitted.isEmpty()) {
			return holders.isEmpty() ? new Choice.NoneAlive(what, 0) : new Choice.NonePermitted(what);
		}
		List<Upstream> usable = usable(sample(permitted, count), avoided, evenPaused);
		if (usable.isEmpty() && count > SAMPLE_SIZE) {
			usable = usable(all(permitted), avoided, evenPaused);
		}
		if (usable.isEmpty()) {
			return new Choice.NoneAlive(what, backoffMs(all(permitted)));
		}
		return new Choice.Chosen(new Pipeline(List.of(this.policy.choose(usable, this.table, this.random))));
	}

	private List<Upstream> sample(List<List<Upstream>> permitted, int count) {
		if (count <= SAMPLE_SIZE) {
			return all(permitted);
		}
		List<Upstream> sample = new ArrayList<>(SAMPLE_SIZE);
		for (int i = 0; i < SAMPLE_SIZE; i++) {
			int index = this.random.nextInt(count);
			int group = 0;
			while (index >= permitted.get(group).size()) {
				index -= permitted.get(group).size();
				group++;
			}
			sample.add(permitted.get(group).get(index));
		}
		return sample;
	}

	private static List<Upstream> all(List<List<Upstream>> permitted) {
		List<Upstream> all = new ArrayList<>();
		permitted.forEach(all::addAll);
		return all;
	}

	private List<Upstream> usable(List<Upstream> permitted, Set<String> avoided, boolean evenPaused) {
		long nowMs = this.ticker.nowMs();
		List<Upstream> usable = new ArrayList<>(permitted.size());
		List<Upstream> paused = new ArrayList<>();
		for (Upstream upstream : permitted) {
			if (avoided.contains(upstream.id()) || this.table.backoffMs(upstream.id(), nowMs) > 0) {
				continue;
			}
			if (this.table.load(upstream.id()).backingOff(nowMs)) {
				paused.add(upstream);
			}
			else {
				usable.add(upstream);
			}
		}
		// If nothing else is left, an upstream in backoff is better than a refusal.
		return (usable.isEmpty() && evenPaused) ? paused : usable;
	}

	private long backoffMs(List<Upstream> upstreams) {
		long nowMs = this.ticker.nowMs();
		return upstreams.stream().mapToLong((upstream) -> this.table.backoffMs(upstream.id(), nowMs)).min().orElse(0);
	}

	/** Result of choosing. */
	public sealed interface Choice {

		/**
		 * A pipeline was found.
		 *
		 * @param pipeline the pipeline
		 */
		record Chosen(Pipeline pipeline) implements Choice {
		}

		/**
		 * Upstreams exist, but none where the team's data may be.
		 *
		 * @param what the missing layers or service
		 */
		record NonePermitted(String what) implements Choice {
		}

		/**
		 * No permitted upstream is alive and takes work.
		 *
		 * @param what the missing layers or service
		 * @param backoffMs when the first of them takes work again if all requested a
		 * backoff, in milliseconds from now; 0 otherwise
		 */
		record NoneAlive(String what, long backoffMs) implements Choice {

			/**
			 * Returns when a caller may come back.
			 * @param defaultS the time if no backoff is the cause, in seconds
			 * @return seconds, not before the first upstream takes work
			 */
			public int retryAfterS(int defaultS) {
				long backoffS = Math.ceilDiv(this.backoffMs, 1000L);
				return (int) Math.max(defaultS, Math.min(backoffS, Integer.MAX_VALUE));
			}

		}

	}

}
