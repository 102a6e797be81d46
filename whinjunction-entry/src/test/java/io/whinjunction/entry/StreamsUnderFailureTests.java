package io.whinjunction.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.whinjunction.standins.FakeEngine;
import io.whinjunction.standins.ReferenceModel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests promises 1, 2, 5 and 6 through real entries and engines while streams run.
 */
class StreamsUnderFailureTests {

	private static final int TOKENS = 60;

	// One engine of each stage in turn is killed while ten drafts run on it. Every caller
	// receives the complete draft with the model's own tokens; the rest is produced by
	// other engines.
	@Test
	void aDraftGoesOnWhenAStageDiesInMidStream() {
		try (LocalSystem system = new LocalSystem().engines(3).entries(1).configure()) {
			for (String range : List.of("0-4", "4-8", "8-12", "12-16")) {
				List<CompletableFuture<HttpTestClient.Response>> drafts = drafts(system, 10);
				FakeEngine killed = system.engines().get("engine-poa-a-" + range);
				long before = killed.stepCount();
				LocalSystem.await(() -> killed.stepCount() > before + 20);
				system.killEngine("engine-poa-a-" + range);
				assertComplete(drafts);
			}
		}
	}

	// An engine changes its version while streams run: its caches are lost and its
	// generation differs. It must refuse a step that names the old generation.
	@Test
	void aDraftContinuesWhenAnEngineChangesItsVersion() {
		try (LocalSystem system = new LocalSystem().engines(3).entries(1).configure()) {
			List<CompletableFuture<HttpTestClient.Response>> drafts = drafts(system, 10);
			FakeEngine engine = system.engines().get("engine-poa-a-4-8");
			LocalSystem.await(() -> engine.stepCount() > 20);
			engine.upgrade();
			assertComplete(drafts);
		}
	}

	// All engines of one layer range are killed, so the draft cannot continue before its
	// deadline. The tokens that the caller has must remain recognizable as incomplete: an
	// error event, no [DONE], and an aborted connection.
	@Test
	void anAbortedResponseIsVisiblyIncomplete() throws IOException {
		try (LocalSystem system = new LocalSystem().engines(5)
			.entries(1)
			.configure("step-timeout-ms = 1000", "step-timeout-ms = 1000\nanswer-deadline-ms = 5000")) {
			CompletableFuture<String> draft = CompletableFuture
				.supplyAsync(() -> HttpTestClient.raw(system.entry(0).callerPort(), request(TOKENS)));
			LocalSystem.await(() -> system.engines().values().stream().anyMatch((one) -> one.stepCount() > 5));
			for (String domain : List.of("poa-a", "poa-b", "cxs-a")) {
				system.killEngine("engine-" + domain + "-8-12");
			}
			String answer = draft.join();
			assertThat(answer).contains("\"whin-outcome\":\"unknown\"").doesNotContain("[DONE]");
			assertThat(answer).as("the last chunk, which would mark a complete response").doesNotContain("\r\n0\r\n");
		}
	}

	// The caller closes its connection in the middle of a stream. Its work must not
	// continue upstream.
	@Test
	void theWorkOfACallerThatDisconnectsIsCancelledUpstream() throws IOException {
		try (LocalSystem system = new LocalSystem().engines(2).entries(1).configure()) {
			try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), system.entry(0).callerPort())) {
				socket.getOutputStream().write(request(4000).getBytes(StandardCharsets.ISO_8859_1));
				LocalSystem.await(() -> system.engines().values().stream().anyMatch((one) -> one.openStreams() > 0));
			}
			LocalSystem.await(() -> system.engines().values().stream().allMatch((one) -> one.openStreams() == 0));
			long steps = steps(system);
			assertThat(HttpTestClient.draft(system.entry(0).callerPort(), "key-1", "x", 1, false).status())
				.isEqualTo(200);
			assertThat(steps(system)).isEqualTo(steps + 4);
		}
	}

	// The entry is ordered to stop while drafts run. None is cut off, a new one is
	// refused as not run, and the entry then exits on its own.
	@Test
	void aStopCutsOffNoStream() throws InterruptedException {
		try (LocalSystem system = new LocalSystem().engines(3).entries(1).configure()) {
			List<CompletableFuture<HttpTestClient.Response>> drafts = drafts(system, 10);
			LocalSystem.await(() -> system.engines().values().stream().mapToLong(FakeEngine::openStreams).sum() >= 40);
			CompletableFuture<Integer> cutOff = CompletableFuture.supplyAsync(() -> stop(system.entry(0)));
			LocalSystem.await(() -> HttpTestClient.get(system.entry(0).operatorPort(), "/readyz").status() == 503);
			HttpTestClient.Response refused = HttpTestClient.draft(system.entry(0).callerPort(), "key-1", "x", 1,
					false);
			assertThat(refused.outcome()).isEqualTo("not-run");
			assertThat(refused.body()).contains("stopping");
			assertComplete(drafts);
			assertThat(cutOff.join()).isZero();
		}
	}

	// The engine reports that it is leaving, while the instance list lags and permanently
	// shows it as live. Every entry must avoid it for new drafts.
	@Test
	void aLeavingEngineGetsNoNewWorkThoughTheListLags() {
		try (LocalSystem system = new LocalSystem().engines(0).entries(2).configure()) {
			FakeEngine leaving = system.engines().get("engine-poa-a-0-4");
			leaving.leave();
			for (int i = 0; i < 2; i++) {
				int entry = i;
				LocalSystem.await(() -> HttpTestClient.get(system.entry(entry).operatorPort(), "/upstreams")
					.body()
					.contains("\"leaving\":true"));
			}
			long steps = leaving.stepCount();
			for (int i = 0; i < 40; i++) {
				assertThat(HttpTestClient.draft(system.entry(i % 2).callerPort(), "key-1", "x" + i, 2, false).status())
					.isEqualTo(200);
			}
			assertThat(leaving.stepCount()).isEqualTo(steps);
		}
	}

	private static int stop(Entry entry) {
		try {
			return entry.stop();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static List<CompletableFuture<HttpTestClient.Response>> drafts(LocalSystem system, int count) {
		List<CompletableFuture<HttpTestClient.Response>> drafts = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String prompt = "p" + i;
			CompletableFuture<HttpTestClient.Response> draft = new CompletableFuture<>();
			Thread.startVirtualThread(() -> draft
				.complete(HttpTestClient.draft(system.entry(0).callerPort(), "key-1", prompt, TOKENS, true)));
			drafts.add(draft);
		}
		return drafts;
	}

	private static void assertComplete(List<CompletableFuture<HttpTestClient.Response>> drafts) {
		for (int i = 0; i < drafts.size(); i++) {
			HttpTestClient.Response answer = drafts.get(i).join();
			assertThat(answer.body()).endsWith("data: [DONE]\n\n");
			assertThat(HttpTestClient.tokens(answer.body()))
				.isEqualTo(ReferenceModel.draft("p" + i, LocalSystem.LAYERS, TOKENS));
		}
	}

	private static long steps(LocalSystem system) {
		return system.engines().values().stream().mapToLong(FakeEngine::stepCount).sum();
	}

	private static String request(int tokens) {
		String body = HttpTestClient.draftBody("hello", tokens, true);
		return "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\ncontent-length: "
				+ body.length() + "\r\n\r\n" + body;
	}

}
