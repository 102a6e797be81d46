package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Checks whether this router receives replies in time, before it takes missing replies as
 * evidence against engines.
 * <p>
 * Guards against a router that takes live engines for dead: a large configuration
 * occupies the link of its instance for longer than a status query waits for its reply,
 * and all streams over the link pause. The answer of a peer to a query that is sent after
 * the engines' time was over shows that the link is free and that this process handles
 * what it receives now; replies that were late until then are lost, so the engines are
 * queried once more before they are judged.
 * <p>
 * Invariant: at most one check is under way. Confined to the event loop.
 */
final class ReceptionCheck {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long peers have to answer, in milliseconds: several round trips. */
	private static final long ANSWER_TIMEOUT_MS = 40;

	/**
	 * The time without an answer of any peer, in milliseconds, after which missing
	 * replies count as evidence again: this router may be cut off from its peers.
	 */
	private static final long MAX_UNANSWERED_MS = 400;

	private static final long NONE_MS = -1;

	private final RouterContext router;

	private final Runnable queryPeers;

	private final List<Findings> pending = new ArrayList<>();

	/** When the peers were queried, on the clock of proofs. */
	private long queriedMs;

	/** {@code null} while no check is under way. */
	private ScheduledFuture<?> timeout;

	/** When the first check without an answer began; {@link #NONE_MS} after an answer. */
	private long unansweredSinceMs = NONE_MS;

	/**
	 * Creates a check.
	 * @param router the clocks, the event loop and the peers
	 * @param queryPeers queries a few peers
	 */
	ReceptionCheck(RouterContext router, Runnable queryPeers) {
		this.router = router;
		this.queryPeers = queryPeers;
	}

	/**
	 * Starts a check, or joins the one that is under way.
	 * @param findings what follows from its result
	 */
	void start(Findings findings) {
		if (this.router.peers().routerCount(this.router.nowMs()) == 1) {
			findings.conclusive();
			return;
		}
		this.pending.add(findings);
		if (this.timeout == null) {
			this.queriedMs = this.router.bootMs();
			this.timeout = this.router.loop().schedule(this::onTimeout, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			this.queryPeers.run();
		}
	}

	/** Handles the answer of a peer to a query of this router. */
	void peerAnswered() {
		if (!this.router.peers().answeredSince(this.queriedMs)) {
			return;
		}
		this.unansweredSinceMs = NONE_MS;
		if (this.timeout != null) {
			this.timeout.cancel(false);
			end().forEach(Findings::conclusive);
		}
	}

	private void onTimeout() {
		long nowMs = this.router.nowMs();
		if (this.unansweredSinceMs == NONE_MS) {
			this.unansweredSinceMs = nowMs;
		}
		long unansweredMs = nowMs - this.unansweredSinceMs;
		List<Findings> ended = end();
		logger.atWarning().log("event=nothing-received findings=%d unanswered-ms=%d", ended.size(), unansweredMs);
		ended.forEach((unansweredMs > MAX_UNANSWERED_MS) ? Findings::conclusive : Findings::inconclusive);
	}

	private List<Findings> end() {
		this.timeout = null;
		List<Findings> ended = List.copyOf(this.pending);
		this.pending.clear();
		return ended;
	}

	/** What follows from a check. */
	interface Findings {

		/** This router receives replies in time. */
		void conclusive();

		/** This router itself receives nothing; missing replies prove nothing. */
		void inconclusive();

	}

}
