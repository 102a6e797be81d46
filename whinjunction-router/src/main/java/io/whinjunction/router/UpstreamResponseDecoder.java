package io.whinjunction.router;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.InvalidChunkTerminationException;
import io.whinjunction.http.ChunkReader;
import io.whinjunction.http.KeptBytes;
import io.whinjunction.http.StrictResponseDecoder;

/**
 * Decodes responses of an upstream. On request the data of a chunked body goes straight
 * to a consumer, without an HTTP object for each chunk.
 * <p>
 * Invariant: the HTTP library's decoder stands before a chunk's size line while the body
 * is read here, and decodes on from the first line that is not plain, at the latest from
 * that of the last chunk. Confined to the event loop.
 */
final class UpstreamResponseDecoder extends StrictResponseDecoder {

	private final ChunkReader chunks = new ChunkReader();

	private final KeptBytes kept = new KeptBytes();

	private final LongConsumer onKept;

	/** What was reported last, in bytes. */
	private long reportedBytes;

	/** Receives the data of the body; {@code null} while the library decodes. */
	private Consumer<ByteBuf> body;

	/** Whether a response is expected; bytes that arrive otherwise belong to none. */
	private boolean expecting = true;

	/**
	 * Creates a decoder.
	 * @param config its limits
	 * @param onKept receives what is kept after a read, in bytes, if it has changed
	 */
	UpstreamResponseDecoder(HttpDecoderConfig config, LongConsumer onKept) {
		super(config);
		this.onKept = onKept;
		setCumulator(KeptBytes::cumulate);
	}

	@Override
	public void expect(boolean bodylessRequest) {
		super.expect(bodylessRequest);
		this.body = null;
		this.expecting = true;
	}

	/**
	 * Passes the chunks of the body that follows to a consumer. Must be called while the
	 * head of the response is handled; has no effect if the body is not chunked.
	 * @param head the head of the response
	 * @param consumer receives the data, and does not own it
	 */
	void passChunks(HttpResponse head, Consumer<ByteBuf> consumer) {
		if (ChunkReader.reads(head)) {
			this.chunks.begin();
			this.body = consumer;
		}
	}

	/**
	 * Whether a response has no body.
	 * @param head the head of the response
	 * @return {@code true} if the next byte does not belong to it
	 */
	boolean endsWithHead(HttpResponse head) {
		return isContentAlwaysEmpty(head);
	}

	/**
	 * Records that the response is complete.
	 * @return whether no byte has been received after it
	 */
	boolean ended() {
		this.body = null;
		this.expecting = false;
		return actualReadableBytes() == 0;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.body == null || actualReadableBytes() > 0) {
			super.channelRead(context, message);
			reportKept();
			return;
		}
		ByteBuf in = (ByteBuf) message;
		boolean rest = false;
		try {
			readBody(context, in);
			rest = in.isReadable();
		}
		finally {
			if (!rest) {
				in.release();
			}
		}
		if (rest) {
			super.channelRead(context, in);
			reportKept();
		}
	}

	private void reportKept() {
		long undecodedBytes = (actualReadableBytes() > 0) ? internalBuffer().capacity() : 0;
		long bytes = this.kept.partialBytes() + undecodedBytes;
		if (bytes != this.reportedBytes) {
			this.reportedBytes = bytes;
			this.onKept.accept(bytes);
		}
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		if (!this.expecting) {
			// The beginning of a head would be taken for that of the next response.
			context.fireUserEventTriggered(Surplus.RECEIVED);
		}
		if (readBody(context, in)) {
			return;
		}
		int from = in.readerIndex();
		super.decode(context, in, out);
		if (out.isEmpty()) {
			this.kept.decoded(in, from);
		}
		else {
			this.kept.completed();
		}
	}

	// Returns false if the library has to decode what comes next.
	private boolean readBody(ChannelHandlerContext context, ByteBuf in) {
		if (this.body == null) {
			return false;
		}
		ChunkReader.Found found = this.chunks.read(in);
		ByteBuf data = this.chunks.data(in);
		if (data.isReadable()) {
			this.body.accept(data);
		}
		if (found == ChunkReader.Found.INCOMPLETE) {
			return true;
		}
		this.body = null;
		if (found != ChunkReader.Found.INVALID) {
			return false;
		}
		in.skipBytes(in.readableBytes());
		HttpContent invalid = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
		invalid.setDecoderResult(DecoderResult.failure(new InvalidChunkTerminationException()));
		context.fireChannelRead(invalid);
		return true;
	}

	// The library would turn reading on again that the consumer has turned off, as no
	// HTTP object was passed on.
	@Override
	public void channelReadComplete(ChannelHandlerContext context) throws Exception {
		if (this.body != null) {
			context.fireChannelReadComplete();
		}
		else {
			super.channelReadComplete(context);
		}
	}

	/** The event that bytes were received that belong to no response. */
	enum Surplus {

		/** The connection can't be used any more. */
		RECEIVED

	}

}
