package io.whinjunction.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.FleetRetryBudget;

/**
 * Grants retries to the requests of this router, by service: from its own share of the
 * budget of all routers, or lent by a peer. Counts what is granted, and logs what the
 * decisions were based on.
 * <p>
 * Time is that of a clock that counts suspensions. Confined to the event loop.
 */
public final class RetryBudgets {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final RouterContext router;

	private final RouterSettings.Bounds bounds;

	private final long startedMs;

	private final Map<String, FleetRetryBudget> budgets = new HashMap<>();

	private final RetryLoans loans;

	/** The services with decisions since their last log line. */
	private final Set<String> unlogged = new HashSet<>();

	/**
	 * Creates budgets of which nothing is used.
	 * @param router the clocks, the peers and the metrics
	 * @param bounds the bounds of all routers together
	 * @param sender sends a question for a retry to the address of a peer
	 */
	RetryBudgets(RouterContext router, RouterSettings.Bounds bounds,
			BiConsumer<String, PeerMessage.RetryQuestion> sender) {
		this.router = router;
		this.bounds = bounds;
		this.startedMs = router.bootMs();
		this.loans = new RetryLoans(router, this::of, sender);
	}

	/**
	 * Returns this process's share of the retries to a service.
	 * @param service the service
	 * @return its budget
	 */
	public FleetRetryBudget of(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new FleetRetryBudget(this.bounds.repeatRatio(),
				this.bounds.repeatSlack(), this.bounds.repeatWindowMs(), this.startedMs));
	}

	/**
	 * Records a request of a caller of this router.
	 * @param service the service
	 */
	void requested(String service) {
		of(service).requested(this.router.bootMs());
		this.router.metrics().retryBudget(service, "request");
	}

	/**
	 * Acquires a retry: from this router's share, or one that a peer has lent.
	 * @param service the service to which it is sent
	 * @param borrows whether a peer's retry is taken, or requested for later
	 * @return the grant, or empty if there is no retry now
	 */
	Optional<RetryGrant> acquire(String service, boolean borrows) {
		Optional<FleetRetryBudget.Retry> own = of(service).acquire(this.router.bootMs(), routers());
		if (own.isPresent()) {
			decided(service, "granted");
			return own.map((retry) -> new RetryGrant.Granted(this, service, retry));
		}
		decided(service, "denied");
		if (!borrows) {
			return Optional.empty();
		}
		if (this.loans.use(service)) {
			decided(service, "borrowed");
			return Optional.of(new RetryGrant.Granted(this, service, of(service).useLoan(this.router.bootMs())));
		}
		this.loans.ask(service);
		return Optional.empty();
	}

	void settled(FleetRetryBudget.Retry retry) {
		retry.settle(this.router.bootMs());
	}

	void givenBack(String service, FleetRetryBudget.Retry retry) {
		if (retry.giveBack()) {
			decided(service, "returned");
		}
	}

	/**
	 * Lends a retry to a peer if this router's share allows it.
	 * @param question the question of the peer
	 * @return whether it is lent
	 */
	boolean lend(PeerMessage.RetryQuestion question) {
		boolean lent = this.loans.lend(question);
		if (lent) {
			decided(question.service(), "lent");
		}
		return lent;
	}

	/**
	 * Processes the answer of a peer that was asked for a retry.
	 * @param answer the answer
	 */
	void answered(PeerMessage.RetryAnswer answer) {
		this.loans.answered(answer);
	}

	private int routers() {
		return this.router.peers().sharingRouters(this.router.nowMs());
	}

	private void decided(String service, String event) {
		this.router.metrics().retryBudget(service, event);
		this.unlogged.add(service);
	}

	/**
	 * Sets the metrics, and logs the state of each service about which something was
	 * decided since the last sweep.
	 */
	void sweep() {
		long nowMs = this.router.bootMs();
		int routers = routers();
		long ageMs = nowMs - this.startedMs;
		this.router.metrics().state("routers", routers);
		this.router.metrics().state("process_age_ms", ageMs);
		for (String service : this.unlogged) {
			logger.atInfo()
				.log("event=retry-budget service=%s routers=%d process-age-ms=%d %s", service, routers, ageMs,
						of(service).usage(nowMs, routers));
		}
		this.unlogged.clear();
	}

}
