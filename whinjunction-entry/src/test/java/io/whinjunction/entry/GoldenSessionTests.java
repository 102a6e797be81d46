package io.whinjunction.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.whinjunction.standins.BookingServer;
import io.whinjunction.standins.ReferenceModel;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares complete sessions byte for byte with golden files, with the request ID masked,
 * and runs many sessions at once. To write the files again, run with
 * {@code -Dgolden.write=true} and review the difference.
 */
class GoldenSessionTests {

	private static final Path GOLDEN = Path.of("src/test/resources/golden");

	private static LocalSystem system;

	@BeforeAll
	static void start() {
		system = new LocalSystem().engines(0).entries(3).configure("""
				services = ["whin-llm", "booking-api"]
				places = ["poa", "cxs"]
				rate-per-s = 100000
				[teams.team-1]""", """
				services = ["whin-llm", "booking-api"]
				places = ["cxs"]
				rate-per-s = 100000
				[teams.team-1]""");
	}

	@AfterAll
	static void stop() {
		system.close();
	}

	@Test
	void aDraftIsStreamed() throws IOException {
		compare("draft-streamed", post("/v1/completions", "key-1", HttpTestClient.draftBody("hello", 4, true)));
	}

	@Test
	void aDraftIsAnsweredInOneResponse() throws IOException {
		compare("draft-whole", post("/v1/completions", "key-1", HttpTestClient.draftBody("hello", 4, false)));
	}

	@Test
	void aChatIsStreamed() throws IOException {
		compare("chat-streamed", post("/v1/chat/completions", "key-1",
				"{\"model\":\"whin-llm\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],\"max_tokens\":2,"
						+ "\"stream\":true,\"temperature\":0}"));
	}

	@Test
	void aDraftIsRefusedOutsideItsPermittedPlaces() throws IOException {
		compare("draft-refused-for-its-place",
				post("/v1/completions", "key-0", HttpTestClient.draftBody("hello", 4, true)));
	}

	@Test
	void aBookingIsMadeAndRepeated() throws IOException {
		String booking = post("/services/booking-api/bookings", "key-1", "golden-slot", "idempotency-key: golden\r\n");
		compare("booking", booking);
		compare("booking-repeated", booking);
		assertThat(system.booking().runs("golden-slot")).isEqualTo(1);
	}

	@Test
	void aConfirmationIsPolled() throws IOException {
		compare("poll", "GET /services/booking-api/bookings/nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
				+ "authorization: Bearer key-1\r\n\r\n");
	}

	// The booking runs, but its response arrives after the timeout of the call: the
	// caller learns that it may have run, and a repetition is not sent again.
	@Test
	void aResponseArrivesAfterTheTimeout() throws IOException {
		system.booking().nextFault(BookingServer.Fault.SLOW_AFTER_RUN);
		String booking = post("/services/booking-api/bookings", "key-1", "late-slot", "idempotency-key: late\r\n");
		compare("late-answer", booking);
		compare("late-answer-repeated", booking);
		assertThat(system.booking().runs("late-slot")).isEqualTo(1);
	}

	// 200 callers of ten teams, some with the same prompt, use three entries at once. A
	// response that reached another caller would have different tokens.
	@Test
	void twoHundredStreamsThroughThreeEntriesEachGetExactlyTheirOwnTokens()
			throws InterruptedException, ExecutionException {
		List<Future<String>> mismatches = new ArrayList<>();
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < 200; i++) {
				int index = i;
				mismatches.add(callers.submit(() -> mismatch(index)));
			}
		}
		for (Future<String> mismatch : mismatches) {
			assertThat(mismatch.get()).isEmpty();
		}
	}

	private static String mismatch(int index) {
		String prompt = "prompt " + index % 150;
		int team = index % 10;
		// The data of team 0 may be only in the place of the third entry.
		int entry = (team == 0) ? 2 : index % 3;
		HttpTestClient.Response answer = HttpTestClient.draft(system.entry(entry).callerPort(), "key-" + team, prompt,
				10, true);
		boolean right = answer.body().endsWith("data: [DONE]\n\n")
				&& HttpTestClient.tokens(answer.body()).equals(ReferenceModel.draft(prompt, LocalSystem.LAYERS, 10));
		return right ? "" : answer.toString();
	}

	private static String post(String path, String key, String body, String... headers) {
		return "POST " + path + " HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer " + key + "\r\n"
				+ String.join("", headers) + "content-length: " + body.length() + "\r\n\r\n" + body;
	}

	private static void compare(String name, String request) throws IOException {
		String answer = HttpTestClient.raw(system.entry(0).callerPort(), request);
		String session = (request + "\n----\n" + answer).replaceAll("r-[0-9a-f]{16}", "r-MASKED");
		Path file = GOLDEN.resolve(name + ".txt");
		if (Boolean.getBoolean("golden.write")) {
			Files.createDirectories(GOLDEN);
			Files.writeString(file, session, StandardCharsets.ISO_8859_1);
		}
		assertThat(session).isEqualTo(Files.readString(file, StandardCharsets.ISO_8859_1));
	}

}
