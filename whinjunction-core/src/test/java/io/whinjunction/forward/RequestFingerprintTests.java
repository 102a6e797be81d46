package io.whinjunction.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What makes two requests the same.
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

	// A long body passes through in pieces: the part that was read before the first
	// attempt
	// differs from one time to the next.
	@Test
	void ofALongBodyTheBeginningCounts() {
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
	void theBodyIsReadAgainAfterwards() {
		ByteBuffer body = ByteBuffer.wrap("a prompt".getBytes(StandardCharsets.UTF_8));

		RequestFingerprint.of("agency", "POST", "h", "/", body);

		assertThat(body.remaining()).isEqualTo(8);
	}

	private static RequestFingerprint print(String caller, String method, String uri, String body) {
		return RequestFingerprint.of(caller, method, "calls.example", uri,
				ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
	}

}
