package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The retries that one router grants.
 */
class RetryBudgetsTests {

	private static final String SERVICE = "llm";

	private static final double SLACK = 360;

	private static final long WINDOW_MS = 10_000;

	private final PeerTable peers = new PeerTable("10.0.0.1:1", new Random(1));

	private long nowMs = 1_000_000;

	// Guards against routers that start together, have not read the list of routers, and
	// use the slack of the whole fleet each.
	@Test
	void aRouterThatHasNotReadTheListOfRoutersUsesNoSlack() {
		RetryBudgets budgets = budgets();
		this.nowMs += WINDOW_MS / 2;
		assertThat(granted(budgets)).isZero();

		this.nowMs += 2 * WINDOW_MS;
		assertThat(granted(budgets)).isZero();

		this.peers.addListed(List.of("10.0.0.2:1", "10.0.0.3:1"));
		assertThat(granted(budgets)).isEqualTo((long) (SLACK / 3 * 2 / 3));
	}

	@Test
	void whatIsDecidedIsVisible() {
		RouterMetrics metrics = new RouterMetrics();
		RetryBudgets budgets = budgets(metrics);
		this.peers.addListed(List.of("10.0.0.2:1", "10.0.0.3:1"));
		this.nowMs += 3 * WINDOW_MS;
		budgets.requested(SERVICE);
		budgets.acquire(SERVICE, false);
		budgets.sweep();

		assertThat(new String(metrics.text())).contains(
				"whin_router_retry_budget_total{event=\"request\",service=\"llm\"} 1.0",
				"whin_router_state{kind=\"routers\"} 3.0", "whin_router_state{kind=\"process_age_ms\"} 30000.0");
	}

	private long granted(RetryBudgets budgets) {
		return IntStream.range(0, 1000).filter((index) -> budgets.acquire(SERVICE, false).isPresent()).count();
	}

	private RetryBudgets budgets() {
		return budgets(new RouterMetrics());
	}

	private RetryBudgets budgets(RouterMetrics metrics) {
		RouterContext context = (RouterContext) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { RouterContext.class }, (proxy, method, args) -> switch (method.getName()) {
					case "nowMs", "bootMs" -> this.nowMs;
					case "peers" -> this.peers;
					case "metrics" -> metrics;
					default -> throw new IllegalStateException(method.getName());
				});
		return new RetryBudgets(context, new RouterSettings.Bounds(5000, 2000, 8000, 0.2, SLACK, WINDOW_MS, 2000),
				(address, question) -> {
				});
	}

}
