package io.whinjunction.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the heads that are responses, and of those that are none.
 */
class StrictResponseDecoderTests {

	private static final String FIELDS = "\r\nContent-Length: 3\r\n\r\nabc";

	static List<String> statusLinesOfNoResponse() {
		return List.of("HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 99 OK", "HTTP/1.1 20 OK",
				"HTTP/1.1 2 OK", "HTTP/1.1 600 OK", "HTTP/1.1 700 OK", "HTTP/1.1 999 OK", "HTTP/1.1 1000 OK",
				"HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2 00 OK",
				"HTTP/1.1 20x OK", "HTTP/1.1 200OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK",
				"HTTP/1.1\u000b200 OK", "HTTP/1.1 200\u000bOK", "HTTP/1.1 200 O\u0000K", "HTTP/1.1 200 O\u0007K",
				"HTTP/1.1 200 \u007f", "HTTP/1.1 200 O\rK", " HTTP/1.1 200 OK", "\tHTTP/1.1 200 OK",
				"\r\nHTTP/1.1 200 OK", "\u0000HTTP/1.1 200 OK", "http/1.1 200 OK", "Http/1.1 200 OK", "HTTP/1.2 200 OK",
				"HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "HTTP/01.1 200 OK", "HTTP /1.1 200 OK", "HTTP/1.1", "HTTP/1.1 ",
				"HTTP/1.1 OK", "200 OK", "ICY 200 OK", "HTTP/1.1 200 OK\nX-Note: a");
	}

	// Guards against a status that is none, and against bytes that no answer begins with,
	// passed on as an answer.
	@ParameterizedTest
	@MethodSource("statusLinesOfNoResponse")
	void aStatusLineThatBreaksTheGrammarIsRejected(String line) {
		assertThat(problem(line + FIELDS)).isPresent();
	}

	static List<String> fieldsOfNoResponse() {
		return List.of("X Note: a", "X\tNote: a", "X-Note : a", "X-Note\t: a", "Set-Cookie : a", "Connection : close",
				"Content Length: 3", "Content-Length : 3", "Transfer Encoding: chunked", ": a", "X\u0000Note: a",
				"X\u0001Note: a", "X\u007fNote: a", "X\u000bNote: a", "X\"Note: a", "X/Note: a", "X(Note: a",
				"X@Note: a", "X\u00e9Note: a", "X-Note", "X-Note: a\u0000b", "X-Note: a\u0007b", "X-Note: a\u007fb",
				"X-Note: a\rb");
	}

	// Guards against a field that its recipient reads in another way than its sender.
	@ParameterizedTest
	@MethodSource("fieldsOfNoResponse")
	void aFieldThatBreaksTheGrammarIsRejected(String field) {
		assertThat(problem("HTTP/1.1 200 OK\r\n" + field + FIELDS)).as("first field").isPresent();
		assertThat(problem("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + field + "\r\n\r\nabc")).as("last field")
			.isPresent();
		assertThat(problem("HTTP/1.1 102 Processing\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK" + FIELDS))
			.as("field of an interim response")
			.isPresent();
		assertThat(
				problem("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + field + "\r\n\r\n"))
			.as("field after the body")
			.isPresent();
	}

	static List<String> responses() {
		return List.of("HTTP/1.1 200 OK" + FIELDS, "HTTP/1.0 404 Not Found" + FIELDS, "HTTP/1.1 200 " + FIELDS,
				"HTTP/1.1 200" + FIELDS, "HTTP/1.1 599 a\tb  c" + FIELDS, "HTTP/1.1 200 \u00e9" + FIELDS,
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + FIELDS,
				"HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Folded: a\r\n b\r\n!#$%&'*+-.^_`|~09azAZ:  a\t\r\nX-Text: \u00e9\""
						+ FIELDS,
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: a\r\n\r\n");
	}

	// Guards against a grammar that is narrower than the protocol's.
	@ParameterizedTest
	@MethodSource("responses")
	void aResponseIsAccepted(String response) {
		assertThat(problem(response)).isEmpty();
	}

	// Guards against a check that holds for the first response of a connection only, or
	// for heads that arrive at once.
	@Test
	void eachHeadOfAConnectionIsCheckedHoweverItArrives() {
		EmbeddedChannel channel = channel();
		for (int response = 0; response < 3; response++) {
			assertThat(problem(channel, "HTTP/1.1 200 OK" + FIELDS, 1)).isEmpty();
		}

		assertThat(problem(channel, "HTTP/1.1 000 OK" + FIELDS, 1)).isPresent();
	}

	private static Optional<String> problem(String bytes) {
		Optional<String> byteByByte = problem(channel(), bytes, 1);
		Optional<String> atOnce = problem(channel(), bytes, bytes.length());
		assertThat(byteByByte.isPresent()).isEqualTo(atOnce.isPresent());
		return atOnce;
	}

	private static EmbeddedChannel channel() {
		return new EmbeddedChannel(new StrictResponseDecoder(new HttpDecoderConfig()));
	}

	private static Optional<String> problem(EmbeddedChannel channel, String text, int pieceBytes) {
		byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
		for (int at = 0; at < bytes.length; at += pieceBytes) {
			channel.writeInbound(Unpooled.copiedBuffer(bytes, at, Math.min(pieceBytes, bytes.length - at)));
		}
		Optional<String> problem = Optional.empty();
		for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
			if (part instanceof HttpObject object && problem.isEmpty()) {
				problem = ResponseHeadValidator.problem(object, List.of());
			}
			ReferenceCountUtil.release(part);
		}
		return problem;
	}

}
