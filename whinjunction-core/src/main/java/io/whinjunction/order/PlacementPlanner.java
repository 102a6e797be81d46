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
 * Level-triggered: each plan compares the desired state with what engines report, so that
 * a lost, duplicated or late order only costs one more round. Ranges without a holder
 * come first. Stateless.
 */
public final class PlacementPlanner {

	private PlacementPlanner() {
	}

	/**
	 * Plans the next orders.
	 * @param configuration the desired state
	 * @param upstreams the state that engines report
	 * @param maxLoading how many engines may read weights at the same time, which bounds
	 * the load on the weight store
	 * @param loading how many engines are reading weights now
	 * @return moves, the most urgent first
	 */
	public static List<Move> plan(Configuration configuration, List<Upstream> upstreams, int maxLoading, int loading) {
		List<Move> moves = new ArrayList<>();
		for (Service service : configuration.services().values()) {
			if (service instanceof Service.Model model) {
				new ModelPlan(configuration, model, upstreams).addMoves(moves);
			}
		}
		moves.sort(Comparator.comparingInt(Move::currentHolders));
		return moves.subList(0, Math.max(0, Math.min(moves.size(), maxLoading - loading)));
	}

	/**
	 * The assignment of a layer range to an upstream.
	 *
	 * @param upstream the upstream
	 * @param range the layers it should hold
	 * @param currentHolders how many upstreams hold them already
	 */
	public record Move(Upstream upstream, LayerRange range, int currentHolders) {
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
					// A spare, or an engine with layers that the configuration no longer
					// contains.
					this.spares.add(upstream);
				}
			}
			this.spares.sort(Comparator.comparing(Upstream::id));
		}

		void addMoves(List<Move> moves) {
			boolean progress = true;
			while (progress) {
				progress = false;
				for (LayerRange range : fewestHoldersFirst()) {
					progress |= fill(range, moves);
				}
			}
		}

		private List<LayerRange> fewestHoldersFirst() {
			List<LayerRange> ranges = new ArrayList<>(this.model.ranges());
			ranges.sort(Comparator.comparingInt((LayerRange range) -> this.holders.get(range).size())
				.thenComparing(Comparator.naturalOrder()));
			return ranges;
		}

		private boolean fill(LayerRange range, List<Move> moves) {
			List<Upstream> current = this.holders.get(range);
			if (current.size() >= this.model.upstreamsPerRange()) {
				return false;
			}
			Upstream taken = takeSpare(range);
			if (taken == null) {
				// A range without a holder stops the entire model, so it may reduce
				// another range to one holder.
				taken = takeFromLargest(current.isEmpty() ? 1 : this.model.upstreamsPerRange());
			}
			if (taken == null) {
				return false;
			}
			moves.add(new Move(taken, range, current.size()));
			current.add(taken);
			return true;
		}

		private Upstream takeFromLargest(int minRemaining) {
			List<Upstream> largest = this.holders.values().stream().max(Comparator.comparingInt(List::size)).get();
			if (largest.size() <= minRemaining) {
				return null;
			}
			// Moving the upstream with the fewest running requests loses the fewest
			// caches.
			Upstream leastLoaded = largest.stream().min(Comparator.comparingInt(Upstream::reportedRunning)).get();
			largest.remove(leastLoaded);
			return leastLoaded;
		}

		private Upstream takeSpare(LayerRange range) {
			Upstream best = null;
			long least = Long.MAX_VALUE;
			for (Upstream spare : this.spares) {
				String place = place(spare);
				long holdersInPlace = this.holders.get(range)
					.stream()
					.filter((holder) -> place(holder).equals(place))
					.count();
				if (holdersInPlace < least) {
					least = holdersInPlace;
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
