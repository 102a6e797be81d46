package io.whinjunction.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.forward.BorrowedRetries;
import io.whinjunction.forward.FleetRetryBudget;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * The repeats that this router borrows from its peers and lends to them.
 * <p>
 * Load pattern: an engine ends, and several streams of one router break off at once. Its
 * share of the retry budget is used up, while most other routers need none of theirs.
 * <p>
 * Invariant: what all routers send stays within the budget, see {@link BorrowedRetries}.
 * A lost or refused question has no effect; the next one goes to another peer. Confined
 * to the event loop.
 */
final class RetryLoans {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final RouterContext router;

	private final Function<String, FleetRetryBudget> budgets;

	private final BiConsumer<String, PeerMessage.RetryQuestion> sender;

	/** By service. */
	private final Map<String, BorrowedRetries> borrowed = new HashMap<>();

	/**
	 * Creates the loans without any.
	 * @param router the clocks and the peers
	 * @param budgets returns this router's share of the retries to a service
	 * @param sender sends a question to the address of a peer
	 */
	RetryLoans(RouterContext router, Function<String, FleetRetryBudget> budgets,
			BiConsumer<String, PeerMessage.RetryQuestion> sender) {
		this.router = router;
		this.budgets = budgets;
		this.sender = sender;
	}

	/**
	 * Uses a repeat that a peer has lent.
	 * @param service the service to which it is sent
	 * @return whether there was one
	 */
	boolean use(String service) {
		boolean used = borrowed(service).use(this.router.bootMs());
		if (used) {
			this.router.metrics().retryLoan("used");
		}
		return used;
	}

	/**
	 * Requests a repeat from a peer chosen at random.
	 * @param service the service to which it is to be sent
	 */
	void ask(String service) {
		List<String> peers = this.router.peers().targets(1, this.router.nowMs());
		if (!peers.isEmpty()) {
			borrowed(service).ask(this.router.bootMs())
				.ifPresent((number) -> this.sender.accept(peers.getFirst(), new PeerMessage.RetryQuestion(number,
						service, this.router.peers().sharingRouters(this.router.nowMs()))));
		}
	}

	private BorrowedRetries borrowed(String service) {
		return this.borrowed.computeIfAbsent(service,
				(name) -> new BorrowedRetries(this.budgets.apply(name).loanValidityMs(), this.router.random()));
	}

	/**
	 * Processes the answer of a peer.
	 * @param answer the answer; ignored unless it answers a recent question
	 */
	void answered(PeerMessage.RetryAnswer answer) {
		BorrowedRetries retries = this.borrowed.get(answer.service());
		if (retries != null && retries.answered(answer.number(), answer.lent(), this.router.bootMs())) {
			this.router.metrics().retryLoan("borrowed");
			logger.atInfo().log("event=retry-borrowed service=%s", answer.service());
		}
	}

	/**
	 * Lends a repeat to a peer if this router's share allows it. The share is that among
	 * the routers that either of them knows: a router that has just started knows few,
	 * and would lend what belongs to the others.
	 * @param question the question of the peer
	 * @return whether it is lent; never for a service that this router does not know
	 */
	boolean lend(PeerMessage.RetryQuestion question) {
		String service = question.service();
		RoutingConfiguration configuration = this.router.configuration();
		if (configuration == null || configuration.service(service) == null) {
			return false;
		}
		int routers = Math.max(question.routers(), this.router.peers().sharingRouters(this.router.nowMs()));
		boolean lent = this.budgets.apply(service).lend(this.router.bootMs(), routers);
		if (lent) {
			this.router.metrics().retryLoan("lent");
			logger.atInfo().log("event=retry-lent service=%s", service);
		}
		return lent;
	}

}
