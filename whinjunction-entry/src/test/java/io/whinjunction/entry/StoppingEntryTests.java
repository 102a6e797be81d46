package io.whinjunction.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.handler.codec.http2.Http2Error;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.http.server.Reply;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.standins.ReferenceModel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers of an entry see while it stops, on connections that they keep.
 */
class StoppingEntryTests {

	private static final EntrySettings.Limits ONE_DRAFT = new EntrySettings.Limits(1, 8, 64, 64 << 10, 8 << 10, 10_000,
			4096);

	private static final int LARGE_BYTES = 16 << 20;

	// A caller keeps its connection and sends two bookings on it while the entry still
	// serves. The first is answered with the word that the connection ends. The second
	// must not run then: its answer could not reach the caller any more.
	@Test
	void anAnswerInTheNoticeEndsItsConnectionAndNothingBehindItRuns() {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(3000, 1000).entries(1).configure()) {
			CompletableFuture<Integer> cutOff = stop(system);
			String answers = HttpProbe.raw(system.entry(0).callerPort(), booking("first") + booking("second"));
			assertThat(answers).startsWith("HTTP/1.1 201").contains("connection: close").contains("first");
			// Whatever had been begun has ended by then.
			assertThat(cutOff.join()).isZero();
			assertThat(system.booking().runs("second")).isZero();
		}
	}

	// The same over HTTP/2: the caller is asked for no more streams on the connection,
	// and the streams it already has are answered.
	@Test
	void anHttp2CallerIsAskedForNoMoreStreams() throws InterruptedException {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(10_000, 1000).entries(1).configure();
				Http2Probe probe = Http2Probe.connect(system.entry(0).callerPort())) {
			assertThat(probe.draft("key-1", "before", 1).await()).endsWith("data: [DONE]\n\n");
			assertThat(probe.goAway()).isNotDone();
			stop(system);
			assertThat(probe.draft("key-1", "after", 3).await()).endsWith("data: [DONE]\n\n");
			assertThat(probe.goAway().orTimeout(5, TimeUnit.SECONDS).join()).isEqualTo(Http2Error.NO_ERROR);
		}
	}

	// A draft streams; its caller sends the next request behind it, and the entry now
	// refuses. The refusal must wait for its turn: written into the stream, it would
	// spoil the running answer and close its connection. The engines are held meanwhile,
	// so that the answer can't end too soon.
	@Test
	void aRefusalWaitsForTheAnswerBeforeIt() throws IOException {
		try (LocalSystem system = new LocalSystem().engines(5).entries(1).configure();
				Socket socket = connect(system.entry(0).callerPort())) {
			send(socket, draft("hello", 40));
			String begin = new String(socket.getInputStream().readNBytes(8), StandardCharsets.ISO_8859_1);
			Runnable release = system.holdSteps();
			stop(system);
			LocalSystem.await(() -> refuses(system));
			send(socket, draft("next", 1));
			release.run();
			String answers = begin + readAll(socket);
			int refusal = answers.indexOf("HTTP/1.1 503");
			assertThat(refusal).as("the place of the refusal in %s", answers).isPositive();
			assertThat(HttpProbe.tokens(answers.substring(0, refusal)))
				.isEqualTo(ReferenceModel.draft("hello", LocalSystem.LAYERS, 40));
			assertThat(answers.substring(0, refusal)).contains("data: [DONE]");
			assertThat(answers.substring(refusal)).contains("not-run").contains("stopping");
		}
	}

	// A body still comes when the entry begins to refuse. Its sender is told that the
	// request did not run; a connection that only closes would leave it to guess.
	@Test
	void aRequestThatStillArrivesIsRefusedAndNotDropped() throws IOException {
		try (LocalSystem system = new LocalSystem().engines(0).stopping(500, 1000).entries(1).configure();
				Socket socket = connect(system.entry(0).callerPort())) {
			String request = booking("arriving");
			send(socket, request.substring(0, request.length() - 3));
			stop(system);
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503").contains("not-run").contains("stopping");
		}
	}

	// The handler is done, but a slow reader has most of the answer still to come. An
	// entry that goes then cuts off an answer that it has counted as given.
	@Test
	void aStopWaitsUntilAnAnswerHasLeft() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(0).entries(1).configure();
				HttpServer large = serverOfLargeAnswers();
				Socket socket = new Socket()) {
			beginLargeAnswer(system, large, socket);
			CompletableFuture<Integer> cutOff = stop(system);
			LocalSystem.await(() -> refuses(system));
			assertThat(readAll(socket).length()).isGreaterThan(LARGE_BYTES);
			assertThat(cutOff.join()).isZero();
		}
	}

	// The entry refuses by the head while the caller still sends its body. A connection
	// that closes at once is reset by the rest: a client that is still writing sees the
	// reset in place of the refusal, and cannot tell that nothing ran.
	@Test
	void aRefusalReachesACallerThatStillSendsItsBody() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(5).entries(1).configure();
				Socket socket = connect(system.entry(0).callerPort())) {
			int port = system.entry(0).callerPort();
			later(() -> HttpProbe.raw(port, draft("keeps the entry up", 4000)));
			LocalSystem.await(() -> inProgress(system) == 1);
			stop(system);
			LocalSystem.await(() -> refuses(system));
			String request = draft("x".repeat(9000), 1);
			send(socket, request.substring(0, 3000));
			String begin = new String(socket.getInputStream().readNBytes(8), StandardCharsets.ISO_8859_1);
			for (int from = 3000; from < 9000; from += 1000) {
				// A reset that answers a piece fails the next one.
				send(socket, request.substring(from, from + 1000));
				Thread.sleep(20);
			}
			assertThat(begin + readAll(socket)).startsWith("HTTP/1.1 503").contains("not-run").contains("stopping");
		}
	}

	// One draft runs, longer than the entry may wait; another waits for its turn. At the
	// limit the first says that its answer is a part, and that of the second nothing ran.
	@Test
	void atTheDrainLimitEachCallerHearsHowFarItsRequestCame() {
		try (LocalSystem system = new LocalSystem().engines(5)
			.limits(ONE_DRAFT)
			.stopping(0, 1000)
			.entries(1)
			.configure()) {
			int port = system.entry(0).callerPort();
			CompletableFuture<String> runs = later(() -> HttpProbe.raw(port, draft("runs", 4000)));
			LocalSystem.await(() -> inProgress(system) == 1);
			CompletableFuture<HttpProbe.Answer> waits = later(() -> HttpProbe.draft(port, "key-1", "waits", 1, true));
			LocalSystem.await(() -> inProgress(system) == 2);
			CompletableFuture<Integer> cutOff = stop(system);
			assertThat(waits.join().outcome()).isEqualTo("not-run");
			assertThat(waits.join().body()).contains("stopping");
			assertThat(runs.join()).contains("\"whin-outcome\":\"unknown\"")
				.contains("stopping")
				.doesNotContain("[DONE]");
			assertThat(cutOff.join()).isPositive();
		}
	}

	// Drafts take three quarters of a second here. One runs when the entry is told to
	// stop within a second, and one waits: begun after the first, it would be cut off.
	// The first is held until the other has its answer; it can't end too soon.
	@Test
	void whatCannotBeExpectedToEndIsRefusedInPlaceOfBegun() {
		try (LocalSystem system = new LocalSystem().engines(5)
			.limits(ONE_DRAFT)
			.stopping(0, 1000)
			.entries(1)
			.configure()) {
			int port = system.entry(0).callerPort();
			assertThat(HttpProbe.draft(port, "key-1", "usual", 30, false).status()).isEqualTo(200);
			Runnable release = system.holdSteps();
			CompletableFuture<HttpProbe.Answer> runs = later(() -> HttpProbe.draft(port, "key-1", "runs", 30, true));
			LocalSystem.await(() -> inProgress(system) == 1);
			CompletableFuture<HttpProbe.Answer> waits = later(() -> HttpProbe.draft(port, "key-1", "waits", 30, true));
			LocalSystem.await(() -> inProgress(system) == 2);
			stop(system);
			assertThat(waits.join().outcome()).isEqualTo("not-run");
			assertThat(waits.join().body()).contains("stopping");
			release.run();
			runs.join();
		}
	}

	// The signal comes while the process is suspended, 50 s before it goes on. The notice
	// of 60 s runs since then: counted from the moment of waking, the entry would end 50
	// s
	// after whoever waits for it, and be killed with all it serves. The suspension of
	// some
	// time before has nothing to do with the signal.
	@Test
	void theNoticeOfASignalThatCameInASuspensionIsCountedFromBefore() throws InterruptedException {
		SuspendableTicker ticker = new SuspendableTicker();
		try (LocalSystem system = new LocalSystem().ticker(ticker).stopping(60_000, 1000).entries(1)) {
			ticker.leap(20_000);
			LocalSystem.await(ticker::noted);
			ticker.leapOfSignal(50_000);
			system.entry(0).stop();
			assertThat(ticker.sleptMs()).isPositive().isLessThanOrEqualTo(10_000);
		}
	}

	// The same, and notice and drain limit were over before the process went on, with an
	// answer still on its way to a slow reader. It is ended now, not a minute later.
	@Test
	void aStopWhoseTimeWasOverBeforeItWasHandledWaitsForNothing() throws Exception {
		SuspendableTicker ticker = new SuspendableTicker();
		try (LocalSystem system = new LocalSystem().ticker(ticker)
			.engines(0)
			.stopping(10_000, 60_000)
			.entries(1)
			.configure(); HttpServer large = serverOfLargeAnswers(); Socket socket = new Socket()) {
			beginLargeAnswer(system, large, socket);
			CompletableFuture<Integer> cutOff = later(() -> {
				ticker.leapOfSignal(75_000);
				return stop(system.entry(0));
			});
			assertThat(cutOff.get(30, TimeUnit.SECONDS)).isOne();
			assertThat(ticker.sleptMs()).isZero();
		}
	}

	private static CompletableFuture<Integer> stop(LocalSystem system) {
		CompletableFuture<Integer> cutOff = later(() -> stop(system.entry(0)));
		LocalSystem.await(() -> HttpProbe.get(system.entry(0).operatorPort(), "/readyz").status() != 200);
		return cutOff;
	}

	private static int stop(Entry entry) {
		try {
			return entry.stop();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static <T> CompletableFuture<T> later(Supplier<T> task) {
		CompletableFuture<T> result = new CompletableFuture<>();
		Thread.startVirtualThread(() -> {
			try {
				result.complete(task.get());
			}
			catch (RuntimeException ex) {
				result.completeExceptionally(ex);
			}
		});
		return result;
	}

	private static boolean refuses(LocalSystem system) {
		return HttpProbe.draft(system.entry(0).callerPort(), "key-1", "x", 1, false).status() != 200;
	}

	private static int inProgress(LocalSystem system) {
		String status = HttpProbe.get(system.entry(0).operatorPort(), "/status").body();
		return Integer.parseInt(status.replaceAll("(?s).*\"in_progress\":(\\d+).*", "$1"));
	}

	private static HttpServer serverOfLargeAnswers() throws InterruptedException {
		return HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0),
				(exchange) -> exchange.reply(new Reply(200, List.of(), new byte[LARGE_BYTES])));
	}

	// The caller reads the beginning, and nothing more.
	private static void beginLargeAnswer(LocalSystem system, HttpServer large, Socket socket) throws Exception {
		offerInPlaceOfBookings(system, large);
		socket.setReceiveBufferSize(4096);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), system.entry(0).callerPort()));
		send(socket, "GET /services/booking-api/large HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n\r\n");
		assertThat(socket.getInputStream().readNBytes(8)).asString().isEqualTo("HTTP/1.1");
	}

	private static void offerInPlaceOfBookings(LocalSystem system, HttpServer server) {
		String address = "127.0.0.1:" + server.port();
		for (String domain : List.of("poa-a", "poa-b", "cxs-a")) {
			system.store().putInstance(new Instance("booking-" + domain, "booking-api", address, domain, "", false));
		}
		LocalSystem.await(() -> HttpProbe.get(system.entry(0).operatorPort(), "/upstreams")
			.body()
			.split(address + "\"", -1).length == 4);
	}

	private static Socket connect(int port) throws IOException {
		return new Socket(InetAddress.getLoopbackAddress(), port);
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

	private static String readAll(Socket socket) throws IOException {
		socket.setSoTimeout(20_000);
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	private static String booking(String slot) {
		return post("/services/booking-api/bookings", slot);
	}

	private static String draft(String prompt, int tokens) {
		return post("/v1/completions", HttpProbe.draftBody(prompt, tokens, true));
	}

	private static String post(String path, String body) {
		return "POST " + path + " HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\ncontent-length: "
				+ body.length() + "\r\n\r\n" + body;
	}

}
