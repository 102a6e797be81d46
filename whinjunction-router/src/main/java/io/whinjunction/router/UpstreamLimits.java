package io.whinjunction.router;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.limit.SharedRate;

/**
 * Enforces the request limits that upstreams report, as this router's share of them.
 * <p>
 * Load pattern: an overloaded upstream accepts a few requests a second from all routers
 * together. Each router would send as many on its own, and in a large fleet even one
 * request from each would be too many. So only as many routers send to the upstream as
 * the limit permits to send one request at once, each at its share of the rate; the
 * others do not send there. Routers report limits to each other, since a router that does
 * not send to an upstream does not receive its limit.
 * <p>
 * Invariants: the latest limit of an upstream applies, by the time at which the upstream
 * reported it. Without a reported limit there is none. Limits of upstreams that are gone
 * are dropped. Confined to the event loop.
 */
final class UpstreamLimits {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The number of routers that send to an upstream per request a second of its limit.
	 */
	private static final double SENDERS_PER_LIMIT = 2;

	/** The number of routers that send to an upstream however low its limit is. */
	private static final int MIN_SENDERS = 2;

	/**
	 * The ratio of a limit that is used. The rest is a reserve, since routers that see
	 * different fleets choose different senders.
	 */
	private static final double USED_RATIO = 0.9;

	/**
	 * The minimum rate at which requests are sent to an upstream however low its limit
	 * is, in requests per second: without any request no router would learn that the
	 * limit was raised.
	 */
	private static final double MIN_PER_SECOND = 0.2;

	/** The time after which this router's share is recalculated, in milliseconds. */
	private static final long SHARE_VALID_MS = 1000;

	/**
	 * How long peers are notified that an upstream no longer reports a limit, in
	 * milliseconds.
	 */
	private static final long LIFTED_REPORTED_MS = 3000;

	/** Bounds the size of a message. */
	static final int MAX_REPORTED = 48;

	private final RouterContext router;

	private final RandomGenerator random;

	private final Map<String, Limit> limits = new HashMap<>();

	/**
	 * Creates a table without limits.
	 * @param router the clock, the upstreams and the peers
	 * @param random the source of randomness
	 */
	UpstreamLimits(RouterContext router, RandomGenerator random) {
		this.router = router;
		this.random = random;
	}

	/**
	 * Processes the limit in a response of an upstream.
	 * @param upstream the incarnation of the upstream
	 * @param head the head of the response
	 */
	void received(String upstream, UpstreamHead head) {
		// Only a successful response without a limit, from the upstream's own work,
		// lifts the limit.
		boolean lifted = head.limitPerSecond() < 0 && head.success() && this.limits.containsKey(upstream);
		if (head.limitPerSecond() >= 0 || lifted) {
			update(upstream, head.limitPerSecond(), this.router.nowMs(), "upstream");
		}
	}

	/**
	 * Processes the limits that a peer reported.
	 * @param peerLimits the latest limit of each upstream at the peer
	 */
	void received(List<ReportedLimit> peerLimits) {
		long nowMs = this.router.nowMs();
		for (ReportedLimit limit : peerLimits) {
			boolean valid = limit.ageMs() >= 0 && !Double.isNaN(limit.perSecond());
			boolean known = this.router.directory().find(limit.upstream()) != null;
			Limit held = this.limits.get(limit.upstream());
			if (valid && known && (held == null || nowMs - limit.ageMs() > held.reportedAtMs)) {
				update(limit.upstream(), limit.perSecond(), nowMs - limit.ageMs(), "router");
			}
		}
	}

	private void update(String upstream, double perSecond, long atMs, String source) {
		Limit limit = this.limits.computeIfAbsent(upstream, (name) -> new Limit());
		if (perSecond != limit.perSecond) {
			logger.atInfo()
				.log("event=upstream-limit upstream=%s per-second=%s before=%s from=%s", upstream, perSecond,
						limit.perSecond, source);
			limit.shareAtMs = Long.MIN_VALUE / 2;
		}
		limit.reportedAtMs = atMs;
		limit.perSecond = perSecond;
	}

	/**
	 * Returns whether this router may send a request to an upstream.
	 * @param upstream the incarnation of the upstream
	 * @return {@code false} if the limit currently leaves no request for this router
	 */
	boolean allows(String upstream) {
		Limit limit = this.limits.get(upstream);
		if (limit == null || limit.perSecond < 0) {
			return true;
		}
		long nowMs = this.router.nowMs();
		if (nowMs - limit.shareAtMs >= SHARE_VALID_MS) {
			limit.rate.setRate(share(upstream, limit.perSecond), nowMs);
			limit.shareAtMs = nowMs;
		}
		return limit.rate.ready(nowMs);
	}

	/**
	 * Returns whether this router has used up its share of the limit of an upstream.
	 * @param service the service of the upstream
	 * @return whether another router may be able to send a request
	 */
	boolean usedUp(String service) {
		return limited()
			.anyMatch((state) -> state.upstream().service().equals(service) && !allows(state.incarnation()));
	}

	/**
	 * Returns the services with upstreams that report limits, of which this router has
	 * not used up its share.
	 * @return the names of the services
	 */
	List<String> spareServices() {
		return limited().filter((state) -> !state.leaving() && allows(state.incarnation()))
			.map((state) -> state.upstream().service())
			.distinct()
			.toList();
	}

	private Stream<UpstreamState> limited() {
		return this.limits.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().perSecond >= 0)
			.map((entry) -> this.router.directory().find(entry.getKey()))
			.filter(Objects::nonNull);
	}

	private double share(String upstream, double perSecond) {
		double used = Math.max(MIN_PER_SECOND, USED_RATIO * perSecond);
		int senders = MIN_SENDERS + (int) Math.min(Integer.MAX_VALUE / 2, SENDERS_PER_LIMIT * used);
		return used * this.router.peers().shareOf(upstream.hashCode(), senders, this.router.nowMs());
	}

	/**
	 * Counts a request that is sent to an upstream.
	 * @param upstream the incarnation of the upstream
	 */
	void sent(String upstream) {
		Limit limit = this.limits.get(upstream);
		if (limit != null && limit.perSecond >= 0) {
			limit.rate.take(this.router.nowMs());
		}
	}

	/**
	 * Returns the limits to report to peers.
	 * @return the latest limits, most recently reported first
	 */
	List<ReportedLimit> limitsToReport() {
		if (this.limits.isEmpty()) {
			return List.of();
		}
		long nowMs = this.router.nowMs();
		return this.limits.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().perSecond >= 0
					|| nowMs - entry.getValue().reportedAtMs < LIFTED_REPORTED_MS)
			.map((entry) -> new ReportedLimit(entry.getKey(), entry.getValue().perSecond,
					nowMs - entry.getValue().reportedAtMs))
			.sorted(Comparator.comparingLong(ReportedLimit::ageMs))
			.limit(MAX_REPORTED)
			.toList();
	}

	/** Drops the limits of upstreams that are gone. */
	void sweep() {
		this.limits.keySet().removeIf((upstream) -> this.router.directory().find(upstream) == null);
	}

	/**
	 * Returns the number of upstreams that report a limit.
	 * @return the number
	 */
	int count() {
		return (int) this.limits.values().stream().filter((limit) -> limit.perSecond >= 0).count();
	}

	/** The latest limit of one upstream; confined to the table. */
	private final class Limit {

		private final SharedRate rate = new SharedRate(UpstreamLimits.this.random.nextDouble(),
				UpstreamLimits.this.router.nowMs());

		private double perSecond = -1;

		private long reportedAtMs = Long.MIN_VALUE / 2;

		private long shareAtMs = Long.MIN_VALUE / 2;

	}

}
