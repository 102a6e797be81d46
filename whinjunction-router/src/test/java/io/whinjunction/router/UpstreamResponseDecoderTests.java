package io.whinjunction.router;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link UpstreamResponseDecoder}: the body of a chunked response. */
class UpstreamResponseDecoderTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String NEXT = "HTTP/1.1 204 No Content\r\n\r\n";

	private final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(new HttpDecoderConfig(), (bytes) -> {
	});

	private final Responses responses = new Responses(this.decoder);

	private final EmbeddedChannel channel = new EmbeddedChannel(this.decoder, this.responses);

	@Property(tries = 2000)
	void readsWhatTheHttpLibraryReadsHoweverTheBytesAreSplit(@ForAll long seed) {
		Random random = new Random(seed);
		UpstreamResponseDecoder own = new UpstreamResponseDecoder(new HttpDecoderConfig(), (bytes) -> {
		});
		Responses actual = new Responses(own);
		EmbeddedChannel tested = new EmbeddedChannel(own, actual);
		String sent = HEAD + body(random) + end(random);
		Responses expected = new Responses(null);
		EmbeddedChannel library = new EmbeddedChannel(new HttpResponseDecoder(), expected);
		int at = 0;
		while (at < sent.length()) {
			int end = Math.min(sent.length(), at + 1 + random.nextInt(random.nextBoolean() ? 3 : 400));
			receive(library, sent.substring(at, end));
			receive(tested, sent.substring(at, end));
			at = end;
		}
		library.finish();
		tested.finish();

		assertThat(actual.read.toString()).isEqualTo(expected.read.toString());
	}

	@Test
	void noHttpObjectIsMadeForPlainChunks() {
		receive(this.channel, HEAD + "5\r\nevent\r\n");
		receive(this.channel, "5\r\nevent\r\n");

		assertThat(this.responses.read.toString()).isEqualTo("<200>eventevent");
		assertThat(this.responses.objects).isEqualTo(1);
	}

	@Test
	void aResponseThatMayHaveNoBodyEndsWithItsHead() {
		this.decoder.expect(true);

		receive(this.channel, HEAD + NEXT);

		assertThat(this.responses.read.toString()).isEqualTo("<200><end><204><end>");
	}

	// Guards against an answer that fills the memory: reading went on after each chunk
	// though the caller was slow.
	@Test
	void readingStaysOffAfterAChunk() {
		int[] reads = new int[1];
		this.channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {

			@Override
			public void read(ChannelHandlerContext context) {
				reads[0]++;
			}

		});
		receive(this.channel, HEAD + "5\r");
		this.channel.config().setAutoRead(false);
		reads[0] = 0;

		receive(this.channel, "\nevent\r\n");

		assertThat(reads[0]).isZero();
	}

	private static String body(Random random) {
		StringBuilder body = new StringBuilder();
		for (int chunks = random.nextInt(5); chunks > 0; chunks--) {
			StringBuilder data = new StringBuilder();
			for (int bytes = 1 + random.nextInt(40); bytes > 0; bytes--) {
				data.append("a0\r\n".charAt(random.nextInt(4)));
			}
			String size = Integer.toHexString(data.length());
			String line = switch (random.nextInt(12)) {
				case 0 -> size.toUpperCase() + "\r\n";
				case 1 -> "00" + size + "\r\n";
				case 2 -> "0000000" + size + "\r\n";
				case 3 -> size + ";name=value\r\n";
				case 4 -> size + (random.nextBoolean() ? " \r\n" : "\n");
				case 5 -> "x\r\n";
				case 6 -> size + "\r";
				default -> size + "\r\n";
			};
			body.append(line).append(data).append((random.nextInt(20) == 0) ? "\n\n" : "\r\n");
		}
		return body.toString();
	}

	private static String end(Random random) {
		return switch (random.nextInt(6)) {
			case 0 -> "";
			case 1 -> "0\r\nTrailer-Field: value\r\n\r\n";
			case 2 -> "0;name=value\r\n\r\n" + NEXT;
			case 3 -> "0\r\n\r\nsurplus";
			case 4 -> "0\r\n\r\n" + HEAD + "1\r\na\r\n0\r\n\r\n";
			default -> "0\r\n\r\n";
		};
	}

	private static void receive(EmbeddedChannel channel, String text) {
		channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	/**
	 * Writes down what is read, up to the first invalid bytes, which end a connection.
	 */
	private static final class Responses extends ChannelInboundHandlerAdapter {

		private final UpstreamResponseDecoder decoder;

		private final StringBuilder read = new StringBuilder();

		private int objects;

		private boolean invalid;

		private Responses(UpstreamResponseDecoder decoder) {
			this.decoder = decoder;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.objects++;
			if (((HttpObject) message).decoderResult().isFailure()) {
				append("<invalid>");
				this.invalid = true;
			}
			if (message instanceof HttpResponse head) {
				append("<" + head.status().code() + ">");
				if (this.decoder != null) {
					this.decoder.passChunks(head, this::data);
				}
			}
			if (message instanceof HttpContent content) {
				data(content.content());
			}
			if (message instanceof LastHttpContent) {
				append("<end>");
				if (this.decoder != null) {
					this.decoder.ended();
				}
			}
			ReferenceCountUtil.release(message);
		}

		private void data(ByteBuf content) {
			append(content.toString(StandardCharsets.US_ASCII));
		}

		private void append(String text) {
			if (!this.invalid) {
				this.read.append(text);
			}
		}

	}

}
