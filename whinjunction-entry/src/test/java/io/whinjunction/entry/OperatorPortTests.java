package io.whinjunction.entry;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the operator port of an entry.
 */
class OperatorPortTests {

	private static LocalSystem system;

	@BeforeAll
	static void start() {
		system = new LocalSystem().engines(0).entries(1).configure();
	}

	@AfterAll
	static void stop() {
		system.close();
	}

	@Test
	void explainShowsWhereADraftRanAndNoneOfItsText() {
		HttpTestClient.Response draft = HttpTestClient.draft(system.entry(0).callerPort(), "key-1", "a secret prompt",
				3, false);
		String explained = get("/explain/" + draft.header("whin-request-id").orElseThrow()).body();
		assertThat(explained).contains("\"team\":\"team-1\"")
			.contains("\"outcome\":\"answered\"")
			.contains("\"layers\":\"12-16\"")
			.doesNotContain("secret")
			.doesNotContain("key-1")
			.doesNotContain(HttpTestClient.tokens(draft.body()).get(0).strip());
	}

	@Test
	void explainShowsWhyARequestWasRefused() {
		HttpTestClient.Response refused = HttpTestClient.draft(system.entry(0).callerPort(), "nobody", "x", 1, false);
		assertThat(get("/explain/" + refused.header("whin-request-id").orElseThrow()).body())
			.contains("\"code\":\"unknown-key\"")
			.contains("No team has this key");
	}

	@Test
	void metricsCountOutcomesByTeamAndServiceOnly() {
		HttpTestClient.draft(system.entry(0).callerPort(), "key-2", "x", 1, false);
		String metrics = get("/metrics").body();
		assertThat(metrics)
			.contains("whin_requests_total{code=\"ok\",outcome=\"answered\",service=\"whin-llm\",team=\"team-2\"}")
			.contains("whin_state{kind=\"revision\"} 1.0")
			.doesNotContain("r-");
	}

	@Test
	void theLogLevelChangesAndAnUnknownOneIsRefused() {
		int port = system.entry(0).operatorPort();
		assertThat(HttpTestClient.post(port, "/log-level?level=warn", "").status()).isEqualTo(200);
		assertThat(HttpTestClient.post(port, "/log-level?level=loud", "").status()).isEqualTo(400);
		assertThat(HttpTestClient.post(port, "/log-level?level=info", "").status()).isEqualTo(200);
	}

	private static HttpTestClient.Response get(String path) {
		return HttpTestClient.get(system.entry(0).operatorPort(), path);
	}

}
