package io.whinjunction.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import com.google.common.flogger.FluentLogger;

/**
 * Finds out which upstreams have ended, so that a request that they ran may go on at
 * another one in their place.
 * <p>
 * An upstream has ended if its name or its address belongs to a later one, if its
 * instance refused connections for a while, or if it is not listed any more and no
 * connection to it is answered. One of these alone does not show it: an upstream that
 * stands still or is slow answers neither queries nor requests, one that leaves serves on
 * although it is not listed, and one whose port is closed for a moment refuses
 * connections. All of them may still run what they were sent.
 * <p>
 * Invariants: nothing counts that was found while this router's own paths were in doubt;
 * whatever is heard of an upstream afterwards shows that it lives. Confined to the event
 * loop.
 */
final class EndedUpstreams {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long connections have failed of an upstream that has ended. */
	private static final long CONFIRMED_AFTER_MS = 100;

	/** The time between two connections that look for an end, in milliseconds. */
	private static final long LOOK_INTERVAL_MS = 120;

	/** The same after a connection was made, in milliseconds. */
	private static final long LIVES_MS = 2000;

	private static final int MAX_LOOKS = 4;

	/** Enough for all connections that fail at a time in a large fleet. */
	private static final int MAX_REMEMBERED = 8192;

	private final RouterContext router;

	/** Upstreams to which the last connection failed, oldest first. */
	private final Map<String, Failures> failures = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Failures> eldest) {
			return size() > MAX_REMEMBERED;
		}

	};

	/** When an upstream may be connected to next, in milliseconds. */
	private final Map<String, Long> nextLookMs = new HashMap<>();

	private int looks;

	/**
	 * Creates an instance that knows of no end.
	 * @param router the clock, the upstreams and the pool
	 */
	EndedUpstreams(RouterContext router) {
		this.router = router;
	}

	/**
	 * Records that no connection to an upstream was made.
	 * @param upstream the upstream
	 * @param startedMs when the attempt began
	 * @param refused whether its instance refused it; {@code false} if nothing came back
	 */
	void connectFailed(Upstream upstream, long startedMs, boolean refused) {
		if (upstream.isRouter() || !this.router.reachability().of(upstream.service()).judgesUpstreams()) {
			return;
		}
		Failures before = this.failures.get(upstream.incarnation());
		Failures now = (before != null) ? new Failures(before.firstMs, startedMs, before.refused && refused)
				: new Failures(startedMs, startedMs, refused);
		this.failures.put(upstream.incarnation(), now);
		if (now.confirmed() && before != null && !before.confirmed()) {
			logger.atInfo()
				.log("event=upstream-unreachable upstream=%s address=%s refused=%s listed=%s", upstream.incarnation(),
						upstream.address(), now.refused, this.router.directory().find(upstream.incarnation()) != null);
		}
	}

	/**
	 * Records that an upstream lives: a connection to it was made, or a peer's or an own
	 * stream goes on over it.
	 * @param incarnation the upstream
	 */
	void lives(String incarnation) {
		if (!this.failures.isEmpty()) {
			this.failures.remove(incarnation);
		}
	}

	/**
	 * Returns whether an upstream has ended.
	 * @param incarnation the upstream
	 * @return {@code true} only if that is certain, as far as this router can tell
	 */
	boolean ended(String incarnation) {
		UpstreamDirectory directory = this.router.directory();
		if (directory.superseded(incarnation)) {
			return true;
		}
		Failures failed = this.failures.get(incarnation);
		if (failed != null && failed.confirmed() && (failed.refused || directory.find(incarnation) == null)) {
			return true;
		}
		Upstream former = directory.former(incarnation);
		return former != null && directory.addressTaken(former);
	}

	/**
	 * Connects to upstreams on which it depends whether a request may go on elsewhere, to
	 * find out whether they have ended.
	 * @param incarnations the upstreams
	 */
	void look(Collection<String> incarnations) {
		long nowMs = this.router.nowMs();
		this.nextLookMs.values().removeIf((nextMs) -> nextMs <= nowMs);
		for (String incarnation : incarnations) {
			UpstreamState state = this.router.directory().find(incarnation);
			Upstream upstream = (state != null) ? state.upstream() : this.router.directory().former(incarnation);
			if (upstream != null && !ended(incarnation) && !this.nextLookMs.containsKey(incarnation)
					&& this.looks < MAX_LOOKS) {
				look(upstream, nowMs);
			}
		}
	}

	private void look(Upstream upstream, long nowMs) {
		this.looks++;
		this.nextLookMs.put(upstream.incarnation(), nowMs + LOOK_INTERVAL_MS);
		this.router.pool().acquire(upstream, true, Long.MAX_VALUE, (acquisition) -> {
			this.looks--;
			if (acquisition instanceof Acquisition.Connected connected) {
				this.nextLookMs.put(upstream.incarnation(), this.router.nowMs() + LIVES_MS);
				connected.connection().channel().close();
			}
		});
	}

	/**
	 * Connections to one upstream that failed in a row. Immutable.
	 *
	 * @param firstMs when the first one began
	 * @param lastMs when the last one began
	 * @param refused whether all were refused
	 */
	private record Failures(long firstMs, long lastMs, boolean refused) {

		boolean confirmed() {
			return this.lastMs - this.firstMs >= CONFIRMED_AFTER_MS;
		}

	}

}
