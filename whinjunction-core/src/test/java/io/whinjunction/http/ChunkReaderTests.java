package io.whinjunction.http;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link ChunkReader}. */
class ChunkReaderTests {

	private static final String LAST = "0\r\n\r\n";

	private final ChunkReader reader = new ChunkReader();

	private final StringBuilder data = new StringBuilder();

	// Guards against data that is lost, doubled or in another order, wherever a read
	// ends.
	@Test
	void theDataOfAllChunksIsGatheredHoweverItArrives() {
		Random random = new Random(7);
		for (int round = 0; round < 200; round++) {
			StringBuilder body = new StringBuilder();
			StringBuilder expected = new StringBuilder();
			for (int chunk = 0; chunk < 30; chunk++) {
				String text = Integer.toString(chunk, 36).repeat(1 + random.nextInt((chunk % 7 == 0) ? 600 : 20));
				expected.append(text);
				String size = Integer.toHexString(text.length());
				body.append(random.nextBoolean() ? size : "0" + size.toUpperCase()).append("\r\n");
				body.append(text).append("\r\n");
			}
			this.reader.begin();
			this.data.setLength(0);

			assertThat(read(body + LAST, random)).isEqualTo(LAST);
			assertThat(this.data).hasToString(expected.toString());
		}
	}

	// Guards against lines that only another decoder can read.
	@ParameterizedTest
	@ValueSource(strings = { "3;a=b\r\nabc\r\n", "0\r\n\r\n", "00\r\n\r\n", "g\r\n", "-1\r\n", " 1\r\nb\r\n",
			"1 \r\nb\r\n", "12345678\r\n", "\r\n", "1\rb\r\n" })
	void aLineThatIsNoPlainSizeIsLeft(String line) {
		ByteBuf in = Unpooled.copiedBuffer("1\r\nb\r\n1\r\nb\r\n" + line, StandardCharsets.ISO_8859_1);
		this.reader.begin();

		assertThat(this.reader.read(in)).isEqualTo(ChunkReader.Found.OTHER_LINE);
		assertThat(this.reader.data(in).toString(StandardCharsets.ISO_8859_1)).isEqualTo("bb");
		assertThat(in.toString(StandardCharsets.ISO_8859_1)).isEqualTo(line);
	}

	// Guards against a chunk that is longer than its size says.
	@ParameterizedTest
	@ValueSource(strings = { "1\r\nbc\r\n", "1\r\nb\n\r\n", "1\r\nb\rx", "1\r\nb\r\n2\r\nbcd\r\n" })
	void aChunkThatDoesNotEndIsInvalid(String body) {
		ByteBuf in = Unpooled.copiedBuffer(body + "1\r\nb\r\n", StandardCharsets.ISO_8859_1);
		this.reader.begin();

		assertThat(this.reader.read(in)).isEqualTo(ChunkReader.Found.INVALID);
	}

	private String read(String body, Random random) {
		ByteBuf in = Unpooled.buffer();
		int at = 0;
		while (true) {
			ChunkReader.Found found = this.reader.read(in);
			this.data.append(this.reader.data(in).toString(StandardCharsets.ISO_8859_1));
			if (found != ChunkReader.Found.INCOMPLETE) {
				assertThat(found).isEqualTo(ChunkReader.Found.OTHER_LINE);
				return in.toString(StandardCharsets.ISO_8859_1) + body.substring(at);
			}
			int bytes = Math.min(body.length() - at, 1 + random.nextInt(40));
			in = Unpooled.copiedBuffer(in,
					Unpooled.copiedBuffer(body.substring(at, at + bytes), StandardCharsets.ISO_8859_1));
			at += bytes;
		}
	}

}
