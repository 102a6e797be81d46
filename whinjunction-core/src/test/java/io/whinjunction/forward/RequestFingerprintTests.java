package io.whinjunction.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which requests count as equal.
 */
class RequestFingerprintTests {

	@Test
	void aRepeatHasTheSameFingerprint() {
		assertThat(print("agency", "POST", "/draft/1", "a prompt"))
			.isEqualTo(print("agency", "POST", "/draft/1", "a prompt"));
	}

	@Test
	void anotherCallerMethodPathOrBodyMakesAnotherRequest() {
		Set<RequestFingerprint> prints = new HashSet<>();
		prints.add(print("agency", "POST", "/draft/1", "a prompt"));
		prints.add(print("agency-2", "POST", "/draft/1", "a prompt"));
		prints.add(print("agency", "PUT", "/draft/1", "a prompt"));
		prints.add(print("agency", "POST", "/draft/2", "a prompt"));
		prints.add(print("agency", "POST", "/draft/1?x=1", "a prompt"));
		prints.add(print("agency", "POST", "/draft/1", "a prompt."));
		prints.add(print("agency", "POST", "/draft/1", ""));

		assertThat(prints).hasSize(7);
	}

	// A long body is streamed: the part that has arrived before the first attempt
	// differs between repeats.
	@Test
	void onlyTheBeginningOfALongBodyCounts() {
		assertThat(print("agency", "POST", "/draft/1", "x".repeat(40_000)))
			.isEqualTo(print("agency", "POST", "/draft/1", "x".repeat(50_000)));
	}

	@Test
	void aFingerprintIsReadAsItWasWritten() {
		RequestFingerprint print = new RequestFingerprint(-7);

		assertThat(RequestFingerprint.parse(print.toString())).contains(print);
		assertThat(RequestFingerprint.parse("")).isEmpty();
		assertThat(RequestFingerprint.parse("not a fingerprint")).isEmpty();
	}

	@Test
	void thePositionOfTheBodyIsUnchanged() {
		ByteBuffer body = ByteBuffer.wrap("a prompt".getBytes(StandardCharsets.UTF_8));

		RequestFingerprint.of("agency", "POST", "h", "/", body);

		assertThat(body.remaining()).isEqualTo(8);
	}

	private static RequestFingerprint print(String caller, String method, String uri, String body) {
		return RequestFingerprint.of(caller, method, "calls.example", uri,
				ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
	}

}
