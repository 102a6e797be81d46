package io.whinjunction.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link EventStream}: complete events and their ids. */
class EventStreamTests {

	private final EventStream stream = new EventStream();

	@Property(tries = 200)
	void eventsAreCompleteHoweverTheStreamIsSplit(@ForAll long seed) {
		Random random = new Random(seed);
		StringBuilder sent = new StringBuilder();
		for (int id = 1; id <= 20; id++) {
			String end = random.nextBoolean() ? "\n" : "\r\n";
			sent.append("id: ")
				.append(id)
				.append(end)
				.append("data: ")
				.append(random.nextLong())
				.append(end)
				.append(end);
		}
		StringBuilder received = new StringBuilder();
		EventStream split = new EventStream();
		int at = 0;
		while (at < sent.length()) {
			int end = Math.min(sent.length(), at + 1 + random.nextInt(30));
			received.append(take(split, sent.substring(at, end)));
			at = end;
		}

		assertThat(received.toString()).isEqualTo(sent.toString());
		assertThat(split.lastId()).isEqualTo("20");
		assertThat(split.events()).isEqualTo(20);
		assertThat(split.partial()).isFalse();
	}

	// Guards against bytes without the end of an event that block the event loop, as all
	// that is kept was examined again with each piece.
	@ParameterizedTest
	@ValueSource(strings = { "data: a line of an event\n", "a part of a line of an event" })
	void bytesWithoutTheEndOfAnEventAreExaminedOnce(String piece) {
		long startedNs = System.nanoTime();
		for (int bytes = 0; bytes <= EventStream.MAX_EVENT_BYTES; bytes += piece.length()) {
			take(this.stream, piece);
		}

		assertThat(this.stream.oversized()).isTrue();
		assertThat(Duration.ofNanos(System.nanoTime() - startedNs)).isLessThan(Duration.ofMillis(500));
	}

	// Guards against a stream that holds nothing and never ends.
	@ParameterizedTest
	@ValueSource(strings = { ": comment\n\n", "\n", "\r\n" })
	void commentsAndEmptyLinesWithoutEndAreOversized(String piece) {
		for (int bytes = 0; bytes <= EventStream.MAX_EVENT_BYTES; bytes += piece.length()) {
			assertThat(this.stream.oversized()).isFalse();
			take(this.stream, piece);
		}

		assertThat(this.stream.oversized()).isTrue();
		take(this.stream, "data: a\n\n");
		assertThat(this.stream.oversized()).isFalse();
	}

	// Guards against a caller that receives part of a line twice: the upstream stopped
	// within an event whose beginning had already been passed on, and the next upstream
	// sent the event again.
	@Test
	void partialEventIsHeldBackAndCanBeDropped() {
		assertThat(take(this.stream, "id: 1\ndata: a\n\nid: 2\ndata: b")).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(this.stream.partial()).isTrue();

		this.stream.dropPartial();

		assertThat(take(this.stream, "id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
		assertThat(this.stream.lastId()).isEqualTo("2");
	}

	private static String take(EventStream stream, String text) {
		ByteBuf complete = stream.take(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
		return (complete != null) ? complete.toString(StandardCharsets.US_ASCII) : "";
	}

}
