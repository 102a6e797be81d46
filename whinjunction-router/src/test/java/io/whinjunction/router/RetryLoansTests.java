package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import io.whinjunction.forward.FleetRetryBudget;
import io.whinjunction.routing.CallerLimits;
import io.whinjunction.routing.RoutedService;
import io.whinjunction.routing.RoutingConfiguration;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Repeats that routers lend to each other, without a network between them.
 */
class RetryLoansTests {

	private static final String SERVICE = "llm";

	private static final double SLACK = 360;

	private static final int ROUTERS = 88;

	private final List<String> asked = new ArrayList<>();

	private final List<PeerMessage.RetryQuestion> questions = new ArrayList<>();

	private long nowMs = 1_000_000;

	@Test
	void aQuestionGoesToOneActivePeerAndItsAnswerIsUsed() {
		RetryLoans borrower = router(ROUTERS, true);
		borrower.ask(SERVICE);
		assertThat(this.asked).hasSize(1);
		assertThat(borrower.use(SERVICE)).isFalse();

		borrower.answered(answer(this.questions.getFirst(), true));

		assertThat(borrower.use(SERVICE)).isTrue();
		assertThat(borrower.use(SERVICE)).isFalse();
	}

	// Guards against streams that wait for a peer that has nothing to lend: the next
	// question goes to another one.
	@Test
	void afterRefusalsOtherPeersAreAsked() {
		RetryLoans borrower = router(ROUTERS, true);
		for (int index = 0; index < 10; index++) {
			borrower.ask(SERVICE);
			borrower.answered(answer(this.questions.getLast(), false));
		}

		assertThat(this.asked).hasSize(10);
		assertThat(this.asked.stream().distinct().count()).isGreaterThan(5);
		assertThat(borrower.use(SERVICE)).isFalse();
	}

	// Guards against a retry of one service that is sent to another, whose upstreams may
	// be overloaded.
	@Test
	void aLoanIsNotUsedForAnotherService() {
		RetryLoans borrower = router(ROUTERS, true);
		borrower.ask(SERVICE);
		borrower.ask("plain");
		PeerMessage.RetryQuestion question = this.questions.getFirst();

		borrower.answered(new PeerMessage.RetryAnswer(question.number(), "plain", true));
		assertThat(borrower.use("plain")).isFalse();

		borrower.answered(answer(question, true));
		assertThat(borrower.use("plain")).isFalse();
		assertThat(borrower.use(SERVICE)).isTrue();
	}

	// Guards against budgets without number: any sender that reaches the port can name a
	// service.
	@Test
	void nothingIsLentForAnUnknownService() {
		assertThat(router(ROUTERS, true).lend(question("unknown", ROUTERS))).isFalse();
		assertThat(router(ROUTERS, false).lend(question(SERVICE, ROUTERS))).isFalse();
	}

	// Guards against a router that has just started, knows no other yet and lends the
	// slack of the whole fleet.
	@Test
	void aLenderThatKnowsFewRoutersLendsNoMoreThanItsShareAmongThoseOfTheBorrower() {
		assertThat(lentBy(router(1, true), ROUTERS)).isEqualTo(1);
	}

	@Test
	void aLenderThatKnowsMoreRoutersThanTheBorrowerLendsNoMoreThanItsShare() {
		assertThat(lentBy(router(ROUTERS, true), 1)).isEqualTo(1);
	}

	private static long lentBy(RetryLoans lender, int routers) {
		return IntStream.range(0, 1000).filter((index) -> lender.lend(question(SERVICE, routers))).count();
	}

	private static PeerMessage.RetryQuestion question(String service, int routers) {
		return new PeerMessage.RetryQuestion(1, service, routers);
	}

	private static PeerMessage.RetryAnswer answer(PeerMessage.RetryQuestion question, boolean lent) {
		return new PeerMessage.RetryAnswer(question.number(), question.service(), lent);
	}

	private RetryLoans router(int known, boolean configured) {
		PeerTable peers = new PeerTable("10.0.0.1:1", new Random(1));
		peers.addListed(List.of());
		for (int index = 1; index < known; index++) {
			peers.update(new PeerStatus("n", "10.0.0.1:" + (1 + index), "a", 1, false, 4, 0, List.of(), Map.of(),
					List.of(), false, Map.of(), false, -1, UpstreamListState.NONE, 0, -1, PeerReach.NONE), this.nowMs);
		}
		Map<Object, FleetRetryBudget> budgets = new HashMap<>();
		RoutingConfiguration configuration = configured ? new RoutingConfiguration(1, List.of(),
				List.of(new RoutedService(SERVICE, "/", 1, null)), CallerLimits.DEFAULT, false, List.of()) : null;
		Random random = new Random(2);
		RouterMetrics metrics = new RouterMetrics();
		RouterContext context = (RouterContext) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { RouterContext.class }, (proxy, method, args) -> switch (method.getName()) {
					case "nowMs", "bootMs" -> this.nowMs;
					case "peers" -> peers;
					case "random" -> random;
					case "metrics" -> metrics;
					case "configuration" -> configuration;
					default -> throw new IllegalStateException(method.getName());
				});
		return new RetryLoans(context, (service) -> budgets.computeIfAbsent(service,
				(name) -> new FleetRetryBudget(0.2, SLACK, 10_000, -20_000)), (address, question) -> {
					this.asked.add(address);
					this.questions.add(question);
				});
	}

}
