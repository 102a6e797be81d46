package io.whinjunction.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.IntFunction;

import io.whinjunction.standins.Crowd;
import io.whinjunction.standins.FreePorts;
import io.whinjunction.standins.PersistentCaller;
import io.whinjunction.standins.ProcessFigures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an entry process with little memory whose callers send much and never end.
 * Each test runs alone.
 */
@Tag("crowd")
class MisbehavingEntryCallersTests {

	/** Half of what {@code run-local} gives an entry. */
	private static final int HEAP_MB = 48;

	private static final int DIRECT_MB = 24;

	private static final int MEMORY_MB = 215;

	private static final int MAX_DESCRIPTORS = 1000;

	private static final int BODY_BYTES = 1 << 20;

	private static final int FIELDS_BYTES = 15_500;

	/** How long an ordinary caller sends its request again, in milliseconds. */
	private static final long PATIENCE_MS = 30_000;

	private static final int HTTP2_FRAME_BYTES = 16_384;

	private static final int HTTP2_STREAMS = 100;

	@TempDir
	private Path folder;

	private LocalSystem system;

	private Process process;

	private int port;

	private int operatorPort;

	private int ordinaryRequests;

	@BeforeEach
	void start() throws IOException {
		this.system = new LocalSystem().engines(0).configure();
		this.port = FreePorts.next();
		this.operatorPort = FreePorts.next();
		Path settings = this.folder.resolve("entry.toml");
		Files.writeString(settings, """
				id = "limited"
				failure-domain = "poa-a"
				caller-port = %d
				operator-port = %d
				peer-port = %d
				platform = "%s"
				""".formatted(this.port, this.operatorPort, FreePorts.next(), this.system.platform()));
		this.process = new ProcessBuilder("sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + "; exec \"$@\"", "sh",
				Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-Xms24m",
				"-Xmx" + HEAP_MB + "m", "-XX:MaxDirectMemorySize=" + DIRECT_MB + "m", "-cp",
				System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
				EntryMain.class.getName(), "--settings", settings.toString())
			.redirectErrorStream(true)
			.redirectOutput(this.folder.resolve("log").toFile())
			.start();
		LocalSystem.await(this::ready);
	}

	private boolean ready() {
		try {
			return PersistentCaller.send(this.operatorPort, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n", 0).isPresent();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@AfterEach
	void stop() {
		this.process.destroyForcibly().onExit().join();
		this.system.close();
	}

	// Guards against aggregated bodies that lack their last byte, which fill the memory.
	@Test
	void bodiesThatLackTheirLastByteLeaveMemoryForOthers() throws Exception {
		String body = "b".repeat(BODY_BYTES - 1);
		assertHolds(100, this.port, (index) -> (head("POST", "Content-Length: " + BODY_BYTES + "\r\n") + "\r\n" + body)
			.getBytes(StandardCharsets.ISO_8859_1));
	}

	// Guards against aggregated bodies in chunks of one byte.
	@Test
	void bodiesInChunksOfOneByteLeaveMemoryForOthers() throws Exception {
		String chunks = "1\r\nb\r\n".repeat(100_000);
		assertHolds(60, this.port, (index) -> (head("POST", "Transfer-Encoding: chunked\r\n") + "\r\n" + chunks)
			.getBytes(StandardCharsets.ISO_8859_1));
	}

	// Guards against decoded fields of heads that never end, which fill the heap.
	@Test
	void headsWithoutEndLeaveMemoryForOthers() throws Exception {
		assertHolds(250, this.port, (index) -> head("GET", fields()).getBytes(StandardCharsets.ISO_8859_1));
	}

	// Guards against complete requests that were sent ahead of an unanswered one.
	@Test
	void bodiesSentAheadLeaveMemoryForOthers() throws Exception {
		String ahead = (head("POST", "Content-Length: 900000\r\n") + "\r\n" + "b".repeat(900_000)).repeat(4);
		assertHolds(40, this.port, (index) -> ahead.getBytes(StandardCharsets.ISO_8859_1));
	}

	// Guards against bodies of many HTTP/2 streams that never end.
	@Tag("known-red")
	@Test
	void bodiesOfManyStreamsLeaveMemoryForOthers() throws Exception {
		assertHolds(30, this.port, (index) -> unendingStreams());
	}

	// Guards against connections that use up the descriptors.
	@Test
	void idleConnectionsLeaveDescriptorsForOthers() throws Exception {
		assertHolds(2 * MAX_DESCRIPTORS, this.port,
				(index) -> ((index % 2 == 0) ? "" : "GET /read/ HTTP/1.1\r\n").getBytes(StandardCharsets.ISO_8859_1));
	}

	// Guards against heads without end at the port for operators.
	@Test
	void headsWithoutEndAtThePortForOperatorsLeaveMemoryForOthers() throws Exception {
		assertHolds(250, this.operatorPort, (index) -> head("GET", fields()).getBytes(StandardCharsets.ISO_8859_1));
	}

	// Guards against limits that refuse what a single caller may send.
	@Test
	void aSingleRequestOfManyFieldsIsServedInCalm() throws Exception {
		assertThat(PersistentCaller.send(this.port, head("GET", fields()) + "\r\n", 0)).isPresent();
	}

	private void assertHolds(int connections, int crowdPort, IntFunction<byte[]> bytes) throws Exception {
		try (Crowd crowd = Crowd.start(connections, crowdPort, bytes)) {
			crowd.awaitRead();
			assertWithinLimits();
			assertServesAnOrdinaryCaller();
			assertWithinLimits();
			crowd.close();
			assertServesAnOrdinaryCaller();
			assertWithinLimits();
		}
	}

	private void assertWithinLimits() throws IOException {
		assertThat(this.process.isAlive()).as("the process is alive").isTrue();
		long unreadBytes = ProcessFigures.unreadBytes(this.port) + ProcessFigures.unreadBytes(this.operatorPort);
		assertThat(ProcessFigures.residentBytes(this.process.pid()) + unreadBytes)
			.as("resident and unread bytes, of which %d unread", unreadBytes)
			.isLessThanOrEqualTo((long) MEMORY_MB << 20);
		assertThat(ProcessFigures.openDescriptors(this.process.pid())).as("open descriptors")
			.isLessThan(MAX_DESCRIPTORS);
	}

	private void assertServesAnOrdinaryCaller() throws InterruptedException {
		String slot = "ordinary-" + this.ordinaryRequests++;
		String request = "GET /services/booking-api/bookings/%s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-1\r\n\r\n";
		assertThat(PersistentCaller.send(this.port, request.formatted(slot), PATIENCE_MS))
			.as("the answer to an ordinary request")
			.contains("{\"slot\":\"%s\",\"runs\":0}".formatted(slot));
	}

	private static String head(String method, String headers) {
		return method + " /services/booking-api/bookings/crowd HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-0\r\n"
				+ headers;
	}

	private static String fields() {
		return "a:\r\n".repeat(FIELDS_BYTES / 4);
	}

	/** Returns an HTTP/2 connection whose streams each lack the end of their body. */
	private static byte[] unendingStreams() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		frame(out, 4, 0, 0, new byte[0]);
		for (int index = 0; index < HTTP2_STREAMS; index++) {
			int stream = 2 * index + 1;
			frame(out, 1, 4, stream, http2Head());
			// Below the flow-control window of a stream, 65,535 bytes.
			for (int sent = 0; sent < 3; sent++) {
				frame(out, 0, 0, stream, new byte[HTTP2_FRAME_BYTES]);
			}
		}
		return out.toByteArray();
	}

	private static byte[] http2Head() {
		ByteArrayOutputStream block = new ByteArrayOutputStream();
		literal(block, ":method", "POST");
		literal(block, ":scheme", "http");
		literal(block, ":authority", "a");
		literal(block, ":path", "/services/booking-api/bookings/crowd");
		literal(block, "authorization", "Bearer key-0");
		return block.toByteArray();
	}

	private static void literal(ByteArrayOutputStream block, String name, String value) {
		for (String text : List.of(name, value)) {
			if (text.equals(name)) {
				block.write(0);
			}
			block.write(text.length());
			block.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
		}
	}

	private static void frame(ByteArrayOutputStream out, int type, int flags, int stream, byte[] payload) {
		try {
			out.write(new byte[] { (byte) (payload.length >> 16), (byte) (payload.length >> 8), (byte) payload.length,
					(byte) type, (byte) flags, (byte) (stream >> 24), (byte) (stream >> 16), (byte) (stream >> 8),
					(byte) stream });
			out.write(payload);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
