package io.whinjunction.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Place;
import io.whinjunction.configuration.Service;
import io.whinjunction.pipeline.Upstream;

/**
 * Plans which upstreams hold which layers.
 * <p>
 * Level-triggered: it compares what is wanted with what engines report, each time anew,
 * so that a lost, doubled or late order only costs one more round. Ranges without a
 * holder come first. Stateless.
 */
public final class PlacementPlanner {

	private PlacementPlanner() {
	}

	/**
	 * Plans the next orders.
	 * @param configuration what is wanted
	 * @param upstreams what engines report
	 * @param mostLoading how many engines may read weights at once, which bounds the load
	 * on the weight store
	 * @param loading how many do now
	 * @return moves, the most urgent first
	 */
	public static List<Move> plan(Configuration configuration, List<Upstream> upstreams, int mostLoading, int loading) {
		List<Move> moves = new ArrayList<>();
		for (Service service : configuration.services().values()) {
			if (service instanceof Service.Model model) {
				new ModelPlan(configuration, model, upstreams).addMoves(moves);
			}
		}
		moves.sort(Comparator.comparingInt(Move::holdersNow));
		return moves.subList(0, Math.max(0, Math.min(moves.size(), mostLoading - loading)));
	}

	/**
	 * An upstream to be given a range.
	 *
	 * @param upstream the upstream
	 * @param range the layers it should hold
	 * @param holdersNow how many hold them already
	 */
	public record Move(Upstream upstream, LayerRange range, int holdersNow) {
	}

	private static final class ModelPlan {

		private final Configuration configuration;

		private final Service.Model model;

		private final Map<LayerRange, List<Upstream>> holders = new HashMap<>();

		private final List<Upstream> spares = new ArrayList<>();

		ModelPlan(Configuration configuration, Service.Model model, List<Upstream> upstreams) {
			this.configuration = configuration;
			this.model = model;
			for (LayerRange range : model.ranges()) {
				this.holders.put(range, new ArrayList<>());
			}
			for (Upstream upstream : upstreams) {
				if (!upstream.service().equals(model.name()) || upstream.leaving()) {
					continue;
				}
				if (this.holders.containsKey(upstream.range())) {
					this.holders.get(upstream.range()).add(upstream);
				}
				else {
					// Spare, or on layers that the configuration no longer has.
					this.spares.add(upstream);
				}
			}
			this.spares.sort(Comparator.comparing(Upstream::id));
		}

		void addMoves(List<Move> moves) {
			boolean progress = true;
			while (progress) {
				progress = false;
				for (LayerRange range : shortestFirst()) {
					progress |= fill(range, moves);
				}
			}
		}

		private List<LayerRange> shortestFirst() {
			List<LayerRange> ranges = new ArrayList<>(this.model.ranges());
			ranges.sort(Comparator.comparingInt((LayerRange range) -> this.holders.get(range).size())
				.thenComparing(Comparator.naturalOrder()));
			return ranges;
		}

		private boolean fill(LayerRange range, List<Move> moves) {
			List<Upstream> present = this.holders.get(range);
			if (present.size() >= this.model.upstreamsPerRange()) {
				return false;
			}
			Upstream taken = takeSpare(range);
			if (taken == null) {
				// An empty range stops the whole model, so it may take the last but one.
				taken = takeFromRichest(present.isEmpty() ? 1 : this.model.upstreamsPerRange());
			}
			if (taken == null) {
				return false;
			}
			moves.add(new Move(taken, range, present.size()));
			present.add(taken);
			return true;
		}

		private Upstream takeFromRichest(int leaveAtLeast) {
			List<Upstream> richest = this.holders.values().stream().max(Comparator.comparingInt(List::size)).get();
			if (richest.size() <= leaveAtLeast) {
				return null;
			}
			// The one with the least work loses the fewest caches.
			Upstream idlest = richest.stream().min(Comparator.comparingInt(Upstream::reportedRunning)).get();
			richest.remove(idlest);
			return idlest;
		}

		private Upstream takeSpare(LayerRange range) {
			Upstream best = null;
			long least = Long.MAX_VALUE;
			for (Upstream spare : this.spares) {
				String place = place(spare);
				long there = this.holders.get(range).stream().filter((holder) -> place(holder).equals(place)).count();
				if (there < least) {
					least = there;
					best = spare;
				}
			}
			this.spares.remove(best);
			return best;
		}

		private String place(Upstream upstream) {
			return this.configuration.placeOf(upstream.failureDomain()).map(Place::name).orElse("");
		}

	}

}
