package io.whinjunction.http.server;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import io.whinjunction.http.KeptBytes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link StrictRequestDecoder}. */
class StrictRequestDecoderTests {

	private static final String REQUEST = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final int FIELDS = 500;

	private final TestListener listener = new TestListener();

	private final StrictRequestDecoder decoder = new StrictRequestDecoder(
			new HttpDecoderConfig().setMaxHeaderSize(16_384), this.listener);

	private final EmbeddedChannel channel = new EmbeddedChannel(this.decoder);

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	// Guards against decoded heads of requests that are not served yet.
	@Test
	void aRequestThatWasSentAheadStaysUndecodedUntilItIsServed() {
		this.listener.decodesNext = false;
		receive(REQUEST + REQUEST);
		assertThat(decodedHeads()).isZero();
		assertThat(this.listener.keptBytes).isBetween(2L * REQUEST.length(), 4L * REQUEST.length());

		this.listener.decodesNext = true;
		this.decoder.resume();
		assertThat(decodedHeads()).isOne();
		this.channel.runPendingTasks();

		assertThat(decodedHeads()).isOne();
		assertThat(this.listener.keptBytes).isZero();
	}

	// Guards against fields that take more memory than is accounted for.
	@Test
	void theFieldsOfAHeadWithoutEndAreReported() {
		receive("GET /first HTTP/1.1\r\n" + "a:\r\n".repeat(FIELDS));

		assertThat(this.listener.keptBytes).isGreaterThan((long) FIELDS * KeptBytes.FIELD_BYTES);
	}

	@Test
	void aFoldedFieldCountsOnce() {
		receive("GET /first HTTP/1.1\r\nfolded: 1\r\n" + " 2\r\n".repeat(FIELDS) + "Host: a\r\n");

		assertThat(this.listener.keptBytes).isLessThan(16L * FIELDS);
	}

	// Guards against an idle connection that counts as one that sends a head.
	@Test
	void blankLinesBetweenRequestsAreNotKept() {
		receive(REQUEST + "\r\n\r\n");

		assertThat(this.listener.keptBytes).isZero();
	}

	// Guards against a few bytes that keep a large read buffer.
	@Test
	void theRestOfALargeReadIsKeptOnTheHeap() {
		ByteBuf read = Unpooled.directBuffer(65_536);
		read.writeBytes((REQUEST + "GET").getBytes(StandardCharsets.US_ASCII));
		this.channel.writeInbound(read);

		assertThat(read.refCnt()).isZero();
		assertThat(this.listener.keptBytes).isLessThan(1000);
	}

	// Guards against a connection that is read on although reading was turned off.
	@Test
	void nothingIsReadWhileReadingIsOff() {
		Reads reads = new Reads();
		this.channel.pipeline().addFirst(reads);
		this.channel.config().setAutoRead(false);
		this.listener.decodesNext = false;

		receive(REQUEST);

		assertThat(reads.count).isZero();
	}

	@Test
	void whatIsDroppedIsNotKept() {
		this.listener.decodesNext = false;
		receive(REQUEST);
		this.decoder.drop();
		receive(REQUEST);
		this.listener.decodesNext = true;
		this.decoder.resume();

		assertThat(this.listener.keptBytes).isZero();
		assertThat(decodedHeads()).isZero();
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private int decodedHeads() {
		int heads = 0;
		Object message = this.channel.readInbound();
		while (message != null) {
			heads += (message instanceof HttpRequest) ? 1 : 0;
			ReferenceCountUtil.release(message);
			message = this.channel.readInbound();
		}
		return heads;
	}

	private static final class Reads extends ChannelOutboundHandlerAdapter {

		private int count;

		@Override
		public void read(ChannelHandlerContext context) throws Exception {
			this.count++;
			super.read(context);
		}

	}

	private static final class TestListener implements StrictRequestDecoder.Listener {

		private boolean decodesNext = true;

		private long keptBytes;

		@Override
		public boolean decodesNext() {
			return this.decodesNext;
		}

		@Override
		public void decoded() {
			// Only what is kept is tested here.
		}

		@Override
		public void kept(long bytes) {
			this.keptBytes = bytes;
		}

	}

}
