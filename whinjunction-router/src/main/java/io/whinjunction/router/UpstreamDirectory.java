package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.store.StoreVersion;

/**
 * All upstreams that this process knows.
 * <p>
 * The failure it is there for: an upstream crashes and starts again under its name before
 * the list shows that it was gone. What was known of it, the layers it held above all, is
 * no longer true, and an older entry that is read late would bring it back: requests go
 * to an engine that holds nothing, and orders count from the wrong number.
 * <p>
 * Invariants: of one name, only the latest start that was heard of is known; it shares
 * nothing with an earlier one. Addresses lead to whoever was listed last among the
 * upstreams of a service. Confined to the event loop.
 */
final class UpstreamDirectory {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Starts that are remembered after their end: those of a crash of every engine of a
	 * large fleet.
	 */
	private static final int MOST_ENDED = 8192;

	private final Map<String, UpstreamState> byId = new HashMap<>();

	private final Map<String, UpstreamState> byIncarnation = new HashMap<>();

	private final Map<String, UpstreamState> byAddress = new HashMap<>();

	private final Set<String> ended = remembered();

	/** Starts whose entries were removed, the oldest in front. */
	private final Set<String> gone = remembered();

	private final Consumer<Upstream> left;

	/**
	 * A directory.
	 * @param left hears of each upstream that leaves or is gone
	 */
	UpstreamDirectory(Consumer<Upstream> left) {
		this.left = left;
	}

	private static Set<String> remembered() {
		return Collections.newSetFromMap(new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
				return size() > MOST_ENDED;
			}

		});
	}

	/**
	 * Takes a whole list; what is not in it is gone.
	 * @param upstreams the list
	 */
	void replace(List<Upstream> upstreams) {
		Set<String> listed = new HashSet<>();
		upstreams.forEach((upstream) -> listed.add(upstream.id()));
		for (String id : List.copyOf(this.byId.keySet())) {
			if (!listed.contains(id)) {
				remove(id);
			}
		}
		upstreams.forEach(this::put);
	}

	/**
	 * What a newer list changes.
	 * @param listing the list
	 * @param known the version of what is known
	 * @return the changes from here to there
	 */
	UpstreamChanges changesTo(UpstreamListing listing, StoreVersion known) {
		Set<String> gone = new HashSet<>(this.byId.keySet());
		List<Upstream> changed = new ArrayList<>();
		for (Upstream upstream : listing.upstreams()) {
			gone.remove(upstream.id());
			UpstreamState state = this.byId.get(upstream.id());
			if (state == null || !state.upstream().equals(upstream)) {
				changed.add(upstream);
			}
		}
		return new UpstreamChanges(known, changed, List.copyOf(gone), listing.version());
	}

	/**
	 * An upstream as it is known.
	 * @param id its name
	 * @return the upstream, or {@code null}
	 */
	Upstream findByName(String id) {
		UpstreamState state = this.byId.get(id);
		return (state != null) ? state.upstream() : null;
	}

	/**
	 * Whether an upstream was listed once and has gone.
	 * @param incarnation its start
	 * @return whether it isn't there any more, as far as is remembered
	 */
	boolean gone(String incarnation) {
		return this.gone.contains(incarnation);
	}

	/**
	 * Takes changes.
	 * @param changes the changes
	 */
	void apply(UpstreamChanges changes) {
		changes.removed().forEach(this::remove);
		changes.changed().forEach(this::put);
	}

	private void put(Upstream listed) {
		UpstreamState known = this.byId.get(listed.id());
		if (known == null) {
			add(listed);
			return;
		}
		if (known.upstream().bornAfter(listed.bornMs())) {
			logger.atWarning()
				.log("event=upstream-outdated upstream=%s known=%s", listed.incarnation(), known.incarnation());
			return;
		}
		// An entry that doesn't say when it started tells of the start that is known.
		Upstream upstream = (listed.bornMs() == Upstream.BORN_UNKNOWN) ? listed.bornAt(known.upstream().bornMs())
				: listed;
		if (!upstream.incarnation().equals(known.incarnation())) {
			end(known, upstream);
			add(upstream);
			return;
		}
		update(known, upstream);
	}

	private void add(Upstream upstream) {
		UpstreamState state = new UpstreamState(upstream);
		this.gone.remove(upstream.incarnation());
		this.byId.put(upstream.id(), state);
		this.byIncarnation.put(upstream.incarnation(), state);
		this.byAddress.put(addressKey(upstream), state);
	}

	private void update(UpstreamState state, Upstream newer) {
		boolean leftNow = newer.leaving() && !state.upstream().leaving();
		this.byAddress.remove(addressKey(state.upstream()), state);
		state.update(newer);
		this.byAddress.put(addressKey(newer), state);
		if (leftNow) {
			this.left.accept(newer);
		}
	}

	private void end(UpstreamState state, Upstream newer) {
		Upstream before = state.upstream();
		logger.atWarning()
			.log("event=upstream-restarted upstream=%s before=%s held=%s", newer.incarnation(), before.incarnation(),
					before.held());
		this.ended.add(before.incarnation());
		remove(before.id());
	}

	private void remove(String id) {
		UpstreamState state = this.byId.remove(id);
		if (state != null) {
			this.gone.add(state.incarnation());
			this.byIncarnation.remove(state.incarnation());
			this.byAddress.remove(addressKey(state.upstream()), state);
			this.left.accept(state.upstream());
		}
	}

	/**
	 * Compares a report with the upstream that was asked, and learns of a new start where
	 * the report is the first to tell.
	 * @param asked the upstream as it was when it was asked
	 * @param report what was answered
	 * @return whether the report tells of the start that was asked
	 */
	boolean confirmIncarnation(Upstream asked, EngineReport report) {
		if (report.bornMs() == asked.bornMs() || report.bornMs() == Upstream.BORN_UNKNOWN
				|| asked.bornMs() == Upstream.BORN_UNKNOWN) {
			return true;
		}
		Upstream answering = asked.restarted(report.bornMs(), report.held());
		if (answering.bornAfter(asked.bornMs()) && this.byIncarnation.containsKey(asked.incarnation())) {
			put(answering);
		}
		return false;
	}

	/**
	 * Whether an upstream has started again since.
	 * @param incarnation the start that is asked about
	 * @return whether a later start under the same name was heard of
	 */
	boolean superseded(String incarnation) {
		return this.ended.contains(incarnation);
	}

	/**
	 * Whether any upstream has started again under its name.
	 * @return whether {@link #superseded} may hold for any
	 */
	boolean anySuperseded() {
		return !this.ended.isEmpty();
	}

	/**
	 * An upstream by its incarnation.
	 * @param incarnation the incarnation
	 * @return its state, or {@code null} where it is gone or has started again
	 */
	UpstreamState find(String incarnation) {
		return this.byIncarnation.get(incarnation);
	}

	/**
	 * An upstream by address.
	 * @param service its service: an entry of a service that nobody calls may name the
	 * same address
	 * @param address the address
	 * @return its state, or {@code null}
	 */
	UpstreamState findByAddress(String service, String address) {
		return this.byAddress.get(addressKey(service, address));
	}

	private static String addressKey(Upstream upstream) {
		return addressKey(upstream.service(), upstream.address());
	}

	private static String addressKey(String service, String address) {
		return service + " " + address;
	}

	/**
	 * The upstreams of a service that stay.
	 * @param service the service
	 * @return their states
	 */
	Collection<UpstreamState> active(String service) {
		List<UpstreamState> staying = new ArrayList<>();
		for (UpstreamState state : this.byId.values()) {
			if (state.upstream().service().equals(service) && !state.upstream().leaving()) {
				staying.add(state);
			}
		}
		return staying;
	}

	/**
	 * Memory of this process's requests at the engines where it is most.
	 * @param most how many engines
	 * @return tokens times layers, by the engine's incarnation
	 */
	Map<String, Long> busiest(int most) {
		List<UpstreamState> busy = new ArrayList<>();
		for (UpstreamState state : this.byId.values()) {
			if (state.tokenLayers() > 0) {
				busy.add(state);
			}
		}
		if (busy.size() > most) {
			busy.sort(Comparator.comparingLong(UpstreamState::tokenLayers).reversed());
			busy = busy.subList(0, most);
		}
		Map<String, Long> tokenLayers = HashMap.newHashMap(busy.size());
		for (UpstreamState state : busy) {
			tokenLayers.put(state.incarnation(), state.tokenLayers());
		}
		return tokenLayers;
	}

	/**
	 * How many upstreams are known.
	 * @return the number
	 */
	int size() {
		return this.byId.size();
	}

}
