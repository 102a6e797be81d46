package io.whinjunction.router;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.limit.SharedRate;

/**
 * Keeps the limits that upstreams name, as this router's part of them.
 * <p>
 * The load it answers: an upstream in need takes a few requests a second from all routers
 * together. Each of them would send that many by itself, and of a large fleet even one
 * from each would be too many. So only as many routers send there as the limit leaves
 * room for one at once, each at its part of the rate; the others leave it to them. An
 * upstream's word passes from router to router, since whoever doesn't send there doesn't
 * hear it.
 * <p>
 * Invariants: the latest word on an upstream holds, by the time at which it was said;
 * without one there is no limit; words on upstreams that are gone are dropped. Confined
 * to the event loop.
 */
final class UpstreamLimits {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Routers that send to an upstream, for each request a second that it takes. */
	private static final double SENDERS_PER_LIMIT = 2;

	/** Routers that send to an upstream however little it takes. */
	private static final int LEAST_SENDERS = 2;

	/**
	 * The part of a limit that is used: routers that know different fleets choose
	 * different senders.
	 */
	private static final double USED_PART = 0.9;

	/**
	 * An upstream that takes less than this is sent so much all the same, in requests a
	 * second: nobody would hear when it takes more.
	 */
	private static final double LEAST_PER_SECOND = 0.2;

	/** A part is worked out anew after this long, in milliseconds. */
	private static final long PART_KEPT_MS = 1000;

	/**
	 * That an upstream names no limit any more is told for this long, in milliseconds.
	 */
	private static final long LIFTED_TOLD_MS = 3000;

	/** Bounds a message. */
	static final int MOST_TOLD = 48;

	private final RouterContext router;

	private final RandomGenerator random;

	private final Map<String, Limit> limits = new HashMap<>();

	/**
	 * Nothing was heard yet.
	 * @param router the clock, the upstreams and the other routers
	 * @param random the source of chance
	 */
	UpstreamLimits(RouterContext router, RandomGenerator random) {
		this.router = router;
		this.random = random;
	}

	/**
	 * Takes what an answer of an upstream says.
	 * @param upstream the upstream's incarnation
	 * @param head the answer's head
	 */
	void heard(String upstream, UpstreamHead head) {
		// Only an answer of the upstream's own work shows that it is in no need any more.
		boolean lifted = head.limitPerSecond() < 0 && head.success() && this.limits.containsKey(upstream);
		if (head.limitPerSecond() >= 0 || lifted) {
			say(upstream, head.limitPerSecond(), this.router.nowMs(), "upstream");
		}
	}

	/**
	 * Takes what other routers heard.
	 * @param told the latest word on each upstream there
	 */
	void heard(List<NamedLimit> told) {
		long nowMs = this.router.nowMs();
		for (NamedLimit limit : told) {
			boolean sound = limit.ageMs() >= 0 && !Double.isNaN(limit.perSecond());
			boolean known = this.router.directory().find(limit.upstream()) != null;
			Limit held = this.limits.get(limit.upstream());
			if (sound && known && (held == null || nowMs - limit.ageMs() > held.saidAtMs)) {
				say(limit.upstream(), limit.perSecond(), nowMs - limit.ageMs(), "router");
			}
		}
	}

	private void say(String upstream, double perSecond, long atMs, String source) {
		Limit limit = this.limits.computeIfAbsent(upstream, (name) -> new Limit());
		if (perSecond != limit.perSecond) {
			logger.atInfo()
				.log("event=upstream-limit upstream=%s per-second=%s before=%s from=%s", upstream, perSecond,
						limit.perSecond, source);
			limit.partAtMs = Long.MIN_VALUE / 2;
		}
		limit.saidAtMs = atMs;
		limit.perSecond = perSecond;
	}

	/**
	 * Whether this router may send a request to an upstream.
	 * @param upstream the upstream's incarnation
	 * @return {@code false} where its limit leaves nothing for this router now
	 */
	boolean allows(String upstream) {
		Limit limit = this.limits.get(upstream);
		if (limit == null || limit.perSecond < 0) {
			return true;
		}
		long nowMs = this.router.nowMs();
		if (nowMs - limit.partAtMs >= PART_KEPT_MS) {
			limit.rate.setRate(part(upstream, limit.perSecond), nowMs);
			limit.partAtMs = nowMs;
		}
		return limit.rate.ready(nowMs);
	}

	private double part(String upstream, double perSecond) {
		double used = Math.max(LEAST_PER_SECOND, USED_PART * perSecond);
		int senders = LEAST_SENDERS + (int) Math.min(Integer.MAX_VALUE / 2, SENDERS_PER_LIMIT * used);
		return used * this.router.peers().partOf(upstream.hashCode(), senders, this.router.nowMs());
	}

	/**
	 * A request goes to an upstream.
	 * @param upstream the upstream's incarnation
	 */
	void sent(String upstream) {
		Limit limit = this.limits.get(upstream);
		if (limit != null && limit.perSecond >= 0) {
			limit.rate.take(this.router.nowMs());
		}
	}

	/**
	 * What other routers are told.
	 * @return the latest words, those that were said last in front
	 */
	List<NamedLimit> told() {
		if (this.limits.isEmpty()) {
			return List.of();
		}
		long nowMs = this.router.nowMs();
		return this.limits.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().perSecond >= 0 || nowMs - entry.getValue().saidAtMs < LIFTED_TOLD_MS)
			.map((entry) -> new NamedLimit(entry.getKey(), entry.getValue().perSecond,
					nowMs - entry.getValue().saidAtMs))
			.sorted(Comparator.comparingLong(NamedLimit::ageMs))
			.limit(MOST_TOLD)
			.toList();
	}

	/** Drops what is known of upstreams that are gone. */
	void sweep() {
		this.limits.keySet().removeIf((upstream) -> this.router.directory().find(upstream) == null);
	}

	/**
	 * How many upstreams name a limit.
	 * @return the number
	 */
	int count() {
		return (int) this.limits.values().stream().filter((limit) -> limit.perSecond >= 0).count();
	}

	/** The latest word on one upstream; confined to the table. */
	private final class Limit {

		private final SharedRate rate = new SharedRate(UpstreamLimits.this.random.nextDouble(),
				UpstreamLimits.this.router.nowMs());

		private double perSecond = -1;

		private long saidAtMs = Long.MIN_VALUE / 2;

		private long partAtMs = Long.MIN_VALUE / 2;

	}

}
