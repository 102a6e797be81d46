package io.whinjunction.entry;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that invalid input gets a clear 4xx and does not affect the connections of other
 * callers.
 */
class BadInputTests {

	private static LocalSystem system;

	private static int port;

	@BeforeAll
	static void start() {
		system = new LocalSystem().engines(0).entries(1).configure();
		port = system.entry(0).callerPort();
	}

	@AfterAll
	static void stop() {
		system.close();
	}

	@AfterEach
	void othersAreServed() {
		assertThat(HttpTestClient.draft(port, "key-1", "x", 1, false).status()).isEqualTo(200);
	}

	@Test
	void anUnknownKeyIsRefusedAndTheExpectedHeaderNamed() {
		HttpTestClient.Response answer = HttpTestClient.draft(port, "nobody", "x", 1, false);
		assertThat(answer.status()).isEqualTo(401);
		assertThat(answer.body()).contains("unknown-key").contains("authorization: Bearer KEY");
		assertThat(answer.outcome()).isEqualTo("not-run");
	}

	@Test
	void anUnknownModelNamesTheNearestOne() {
		HttpTestClient.Response answer = body("{\"model\":\"whin-lm\",\"prompt\":\"x\"}");
		assertThat(answer.status()).isEqualTo(404);
		assertThat(answer.body()).contains("did you mean 'whin-llm'?");
	}

	@Test
	void anUnknownFieldNamesTheNearestOne() {
		assertBad("{\"model\":\"whin-llm\",\"prompt\":\"x\",\"max_token\":1}", "did you mean 'max_tokens'?");
	}

	@Test
	void aWrongNumberNamesWhatIsAllowed() {
		assertBad("{\"model\":\"whin-llm\",\"prompt\":\"x\",\"max_tokens\":0}", "a whole number from 1 to 4096");
	}

	@Test
	void deepNestingIsRefusedWithoutQuotingTheBody() {
		HttpTestClient.Response answer = body(
				"{\"prompt\":" + "[".repeat(5000) + "\"secret\"" + "]".repeat(5000) + "}");
		assertThat(answer.status()).isEqualTo(400);
		assertThat(answer.body()).contains("nested deeper than 32").doesNotContain("secret");
	}

	@Test
	void malformedUtf8IsRefused() {
		String body = "{\"model\":\"whin-llm\",\"prompt\":\"\u00ff\u00fe\"}";
		assertThat(post("content-length: " + body.length(), body)).startsWith("HTTP/1.1 400")
			.contains("not valid UTF-8");
	}

	@Test
	void aLongPromptIsRefused() {
		assertBad(HttpTestClient.draftBody("x".repeat(10_001), 1, false), "at most 10000 are taken");
	}

	@Test
	void aLargeBodyIsRefusedBeforeItIsRead() {
		assertThat(post("content-length: 70000", "{")).startsWith("HTTP/1.1 413").contains("too-large");
	}

	@Test
	void largeHeadersAreRefused() {
		assertThat(post("x-large: " + "y".repeat(9000), "{}")).startsWith("HTTP/1.1 400");
	}

	// Guards against request smuggling: with two lengths one reader ends the body where
	// another continues, and the rest of the body of one caller would be read as the
	// request of the next.
	@Test
	void conflictingLengthsAreRefusedAndTheConnectionIsClosed() {
		assertThat(post("content-length: 2\r\ncontent-length: 40", "{}GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"))
			.startsWith("HTTP/1.1 400")
			.doesNotContain("smuggled")
			.satisfies(BadInputTests::isSingleResponse);
		assertThat(post("content-length: 2\r\ntransfer-encoding: chunked",
				"0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"))
			.startsWith("HTTP/1.1 400")
			.contains("Both content-length and transfer-encoding are given")
			.satisfies(BadInputTests::isSingleResponse);
		assertThat(post("transfer-encoding: xchunked", "0\r\n\r\n")).startsWith("HTTP/1.1 400")
			.satisfies(BadInputTests::isSingleResponse);
		assertThat(post("content-length: +2", "{}")).startsWith("HTTP/1.1 400");
	}

	// On a kept connection a client would read a body after the response to HEAD as the
	// beginning of the next response. The encoder does not know the method of the
	// request.
	@Test
	void aResponseToHeadHasNoBody() {
		String head = "HEAD /v2/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n";
		assertThat(
				HttpTestClient.raw(port, head + "\r\n" + head + "connection: close\r\n\r\n").split("HTTP/1.1 404", -1))
			.hasSize(3)
			.allMatch((part) -> part.isEmpty() || part.endsWith("\r\n\r\n"));
	}

	// A sender that never completes its request would hold the connection and its buffer.
	@Test
	void aSlowSenderIsRefusedAndItsConnectionIsClosed() {
		assertThat(post("content-length: 100", "{\"model\"")).startsWith("HTTP/1.1 408").contains("too-slow");
	}

	@Test
	void anUnknownPathNamesTheKnownOnes() {
		HttpTestClient.Response answer = HttpTestClient.get(port, "/v2/x", "authorization", "Bearer key-1");
		assertThat(answer.status()).isEqualTo(404);
		assertThat(answer.body()).contains("/v1/completions");
	}

	private static void assertBad(String body, String sentence) {
		HttpTestClient.Response answer = body(body);
		assertThat(answer.status()).isEqualTo(400);
		assertThat(answer.body()).contains("bad-request").contains(sentence);
		assertThat(answer.outcome()).isEqualTo("not-run");
	}

	private static HttpTestClient.Response body(String body) {
		return HttpTestClient.post(port, "/v1/completions", body, "authorization", "Bearer key-1");
	}

	private static String post(String header, String body) {
		return HttpTestClient.raw(port,
				"POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer key-1\r\n"
						+ header + "\r\n\r\n" + body);
	}

	private static void isSingleResponse(String text) {
		assertThat(text.split("HTTP/1.1 ", -1)).hasSize(2);
	}

}
