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
import io.whinjunction.routing.RoutedService;
import io.whinjunction.store.StoreVersion;

/**
 * Directory of all upstreams that this process knows.
 * <p>
 * Guards against stale state after a restart: an upstream crashes and restarts under its
 * name before the list shows its absence. Its former state, above all the layers it held,
 * no longer applies, and an older entry that is read late would bring that state back.
 * Requests would then be sent to an engine that holds nothing, and orders would be
 * numbered from a wrong number.
 * <p>
 * Invariants: only the latest known incarnation of each name is present, and it shares no
 * state with an earlier one; an incarnation that stated that it leaves is not active any
 * more, whatever the list shows; an address resolves to the upstream of the service that
 * was listed with it last. Confined to the event loop.
 */
final class UpstreamDirectory {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Number of former incarnations that are remembered: enough for a crash of every
	 * engine of a large fleet.
	 */
	private static final int MAX_REMEMBERED = 8192;

	private final Map<String, UpstreamState> byId = new HashMap<>();

	private final Map<String, UpstreamState> byIncarnation = new HashMap<>();

	private final Map<String, UpstreamState> byAddress = new HashMap<>();

	private final Set<String> superseded = boundedSet();

	/** Incarnations whose entries were removed, oldest first. */
	private final Map<String, Upstream> gone = boundedMap();

	/** Incarnations that stated that they leave, oldest first. */
	private final Set<String> statedLeaving = boundedSet();

	private final Consumer<Upstream> departureListener;

	/**
	 * Creates an empty directory.
	 * @param departureListener called with each upstream that leaves or is removed
	 */
	UpstreamDirectory(Consumer<Upstream> departureListener) {
		this.departureListener = departureListener;
	}

	private static Set<String> boundedSet() {
		return Collections.newSetFromMap(boundedMap());
	}

	private static <T> Map<String, T> boundedMap() {
		return new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
				return size() > MAX_REMEMBERED;
			}

		};
	}

	/**
	 * Replaces the content with a full list; upstreams that are not in it are removed.
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
	 * Computes what a newer list changes.
	 * @param listing the list
	 * @param known the version of the current content
	 * @return the changes from the current content to the list
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
	 * Finds an upstream by name.
	 * @param id the name
	 * @return the upstream, or {@code null}
	 */
	Upstream findByName(String id) {
		UpstreamState state = this.byId.get(id);
		return (state != null) ? state.upstream() : null;
	}

	/**
	 * Returns whether an incarnation was listed before and has been removed.
	 * @param incarnation the incarnation
	 * @return whether it was removed, as far as it is remembered
	 */
	boolean gone(String incarnation) {
		return this.gone.containsKey(incarnation);
	}

	/**
	 * Finds an upstream whose entry was removed.
	 * @param incarnation the incarnation
	 * @return the upstream as it was listed last; {@code null} if it is listed, or is not
	 * remembered
	 */
	Upstream former(String incarnation) {
		return this.gone.get(incarnation);
	}

	/**
	 * Returns whether the address of an upstream that is not listed any more belongs to
	 * another one.
	 * @param former the upstream
	 * @return whether another one is listed with its address, of any service
	 */
	boolean addressTaken(Upstream former) {
		return this.byId.values()
			.stream()
			.anyMatch((state) -> state.upstream().address().equals(former.address())
					&& !state.incarnation().equals(former.incarnation()));
	}

	/**
	 * Applies changes.
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
		// An entry without a start time is taken for the known incarnation.
		Upstream upstream = (listed.bornMs() == Upstream.BORN_UNKNOWN) ? listed.bornAt(known.upstream().bornMs())
				: listed;
		if (!upstream.incarnation().equals(known.incarnation())) {
			supersede(known, upstream);
			add(upstream);
			return;
		}
		update(known, upstream);
	}

	private void add(Upstream upstream) {
		UpstreamState state = new UpstreamState(upstream, this.statedLeaving.contains(upstream.incarnation()));
		this.gone.remove(upstream.incarnation());
		this.byId.put(upstream.id(), state);
		this.byIncarnation.put(upstream.incarnation(), state);
		this.byAddress.put(addressKey(upstream), state);
	}

	private void update(UpstreamState state, Upstream newer) {
		boolean leftNow = newer.leaving() && !state.leaving();
		this.byAddress.remove(addressKey(state.upstream()), state);
		state.update(newer);
		this.byAddress.put(addressKey(newer), state);
		if (leftNow) {
			this.departureListener.accept(newer);
		}
	}

	private void supersede(UpstreamState state, Upstream newer) {
		Upstream before = state.upstream();
		logger.atWarning()
			.log("event=upstream-restarted upstream=%s before=%s held=%s", newer.incarnation(), before.incarnation(),
					before.held());
		this.superseded.add(before.incarnation());
		remove(before.id());
	}

	private void remove(String id) {
		UpstreamState state = this.byId.remove(id);
		if (state != null) {
			this.gone.put(state.incarnation(), state.upstream());
			this.byIncarnation.remove(state.incarnation());
			this.byAddress.remove(addressKey(state.upstream()), state);
			this.departureListener.accept(state.upstream());
		}
	}

	/**
	 * Records that an upstream stated itself that it leaves. A list entry that says
	 * otherwise was written before.
	 * @param incarnation the incarnation
	 * @return whether this was not known before, from the list or the upstream
	 */
	boolean markLeaving(String incarnation) {
		boolean added = this.statedLeaving.add(incarnation);
		UpstreamState state = this.byIncarnation.get(incarnation);
		if (!added || state == null || state.leaving()) {
			return false;
		}
		state.stateLeaving();
		this.departureListener.accept(state.upstream());
		return true;
	}

	/**
	 * Compares the incarnation in a report with the one that was queried, and adds a new
	 * incarnation if the report is the first sign of it.
	 * @param queried the upstream as of the query
	 * @param report the report
	 * @return whether the report belongs to the incarnation that was queried
	 */
	boolean confirmIncarnation(Upstream queried, EngineReport report) {
		if (report.bornMs() == queried.bornMs() || report.bornMs() == Upstream.BORN_UNKNOWN
				|| queried.bornMs() == Upstream.BORN_UNKNOWN) {
			return true;
		}
		Upstream reported = queried.restarted(report.bornMs(), report.held());
		if (reported.bornAfter(queried.bornMs()) && this.byIncarnation.containsKey(queried.incarnation())) {
			put(reported);
		}
		return false;
	}

	/**
	 * Returns whether an upstream has restarted since an incarnation.
	 * @param incarnation the incarnation
	 * @return whether a later incarnation of the same name is known
	 */
	boolean superseded(String incarnation) {
		return this.superseded.contains(incarnation);
	}

	/**
	 * Returns whether any upstream has restarted under its name.
	 * @return whether {@link #superseded} may hold for any incarnation
	 */
	boolean anySuperseded() {
		return !this.superseded.isEmpty();
	}

	/**
	 * Finds an upstream by incarnation.
	 * @param incarnation the incarnation
	 * @return its state, or {@code null} if it is gone or has restarted
	 */
	UpstreamState find(String incarnation) {
		return this.byIncarnation.get(incarnation);
	}

	/**
	 * Finds an upstream by service and address.
	 * @param service the service; an entry of a service that nobody calls may name the
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
	 * Returns the upstreams that can serve a service and are not leaving.
	 * @param service the service
	 * @return their states; without those that are listed for the service but are no
	 * engines of its model
	 */
	Collection<UpstreamState> active(RoutedService service) {
		List<UpstreamState> active = new ArrayList<>();
		for (UpstreamState state : this.byId.values()) {
			if (listedFor(service.name(), state) && service.canUse(state.upstream().kind(), state.upstream().held())) {
				active.add(state);
			}
		}
		return active;
	}

	/**
	 * Returns the upstreams that are listed for a service and are not leaving, whether or
	 * not they can serve it. Decisions are made by {@link #active}.
	 * @param service the name of the service
	 * @return their states
	 */
	Collection<UpstreamState> listed(String service) {
		return this.byId.values().stream().filter((state) -> listedFor(service, state)).toList();
	}

	private static boolean listedFor(String service, UpstreamState state) {
		return state.upstream().service().equals(service) && !state.leaving();
	}

	/**
	 * Returns how much engine memory the requests of this process occupy, for the engines
	 * with the most.
	 * @param max the maximum number of engines
	 * @return tokens times layers, by the incarnation of the engine
	 */
	Map<String, Long> busiest(int max) {
		List<UpstreamState> busy = new ArrayList<>();
		for (UpstreamState state : this.byId.values()) {
			if (state.tokenLayers() > 0) {
				busy.add(state);
			}
		}
		if (busy.size() > max) {
			busy.sort(Comparator.comparingLong(UpstreamState::tokenLayers).reversed());
			busy = busy.subList(0, max);
		}
		Map<String, Long> tokenLayers = HashMap.newHashMap(busy.size());
		for (UpstreamState state : busy) {
			tokenLayers.put(state.incarnation(), state.tokenLayers());
		}
		return tokenLayers;
	}

	/**
	 * Returns the number of upstreams.
	 * @return the number
	 */
	int size() {
		return this.byId.size();
	}

}
