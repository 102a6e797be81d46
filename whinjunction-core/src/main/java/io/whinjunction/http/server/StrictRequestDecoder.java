package io.whinjunction.http.server;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.InvalidChunkTerminationException;
import io.netty.handler.codec.http.LastHttpContent;
import io.whinjunction.http.ChunkReader;
import io.whinjunction.http.KeptBytes;

/**
 * Decodes requests and keeps conflicting length headers. Netty's decoder drops a
 * content-length that accompanies a transfer-encoding, so that
 * {@link RequestHeadValidator} would not see the conflict and would accept a request
 * whose body another intermediary may have ended elsewhere.
 * <p>
 * A request that was sent ahead stays undecoded until its connection can serve it, and a
 * turn of the event loop decodes one request of a connection at most: a decoded head of
 * short fields takes a hundred times its bytes. What was received is kept on the heap, in
 * buffers of its own size, so that a few bytes do not keep a large read buffer. The data
 * of small chunks that arrive together is passed on as one. Invariant: whatever is kept
 * between two reads is reported to the listener. One per connection; confined to its
 * event loop.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {

	private final Listener listener;

	private ChannelHandlerContext context;

	/** Whether the last message is complete and the next one has not begun. */
	private boolean betweenMessages = true;

	private boolean dropping;

	/** Whether bytes are being decoded at this moment. */
	private boolean decoding;

	/** Whether a message was completed by what is being decoded at this moment. */
	private boolean completed;

	private final KeptBytes kept = new KeptBytes();

	private final ChunkReader chunks = new ChunkReader();

	/** Whether plain chunks of a body are read here. */
	private boolean inChunks;

	/** What the head that was decoded last takes, in bytes. */
	private long headBytes;

	/**
	 * Creates a decoder.
	 * @param config its limits
	 * @param listener decides when a request is decoded, and is told what is kept
	 */
	public StrictRequestDecoder(HttpDecoderConfig config, Listener listener) {
		super(config);
		this.listener = listener;
		setCumulator(KeptBytes::cumulate);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) throws Exception {
		this.context = context;
		super.handlerAdded(context);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		this.decoding = true;
		this.completed = false;
		try {
			super.channelRead(context, message);
		}
		finally {
			this.decoding = false;
		}
		this.listener.kept(keptBytes());
		if (this.completed && hasUndecoded() && this.listener.decodesNext()) {
			context.executor().execute(this::resume);
		}
	}

	// The library's decoder would read on although reading is turned off, until it can
	// decode something.
	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		discardSomeReadBytes();
		context.fireChannelReadComplete();
	}

	/** Decodes what was received while the listener did not allow it. */
	public void resume() {
		// A decoder that is at work goes on by itself.
		if (this.decoding || actualReadableBytes() == 0) {
			return;
		}
		try {
			channelRead(this.context, Unpooled.EMPTY_BUFFER);
			this.context.fireChannelReadComplete();
		}
		catch (Exception ex) {
			this.context.fireExceptionCaught(ex);
		}
	}

	/** Drops what was received and whatever is received from now on. */
	public void drop() {
		this.dropping = true;
		resume();
	}

	/**
	 * Returns whether bytes were received that are not decoded.
	 * @return {@code false} if all of them are, or they are dropped
	 */
	public boolean hasUndecoded() {
		return !this.dropping && actualReadableBytes() > 0;
	}

	/**
	 * Returns what the head that was decoded last takes on the heap.
	 * @return bytes
	 */
	public long headBytes() {
		return this.headBytes;
	}

	private long keptBytes() {
		long undecoded = (actualReadableBytes() > 0) ? internalBuffer().capacity() : 0;
		return this.kept.partialBytes() + undecoded;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		if (this.dropping) {
			in.skipBytes(in.readableBytes());
			return;
		}
		if (this.betweenMessages && (this.completed || !this.listener.decodesNext())) {
			return;
		}
		int from = in.readerIndex();
		if (!this.inChunks || !readChunks(in, out)) {
			super.decode(context, in, out);
		}
		if (out.isEmpty()) {
			this.kept.decoded(in, from);
			this.betweenMessages &= this.kept.partialBytes() == 0;
			return;
		}
		if (out.getFirst() instanceof HttpRequest head) {
			this.headBytes = this.kept.partialBytes() + in.readerIndex() - from
					+ (long) KeptBytes.FIELD_BYTES * head.headers().size();
			this.inChunks = head.decoderResult().isSuccess() && ChunkReader.reads(head);
			this.chunks.begin();
		}
		this.kept.completed();
		this.betweenMessages = out.getLast() instanceof LastHttpContent;
		this.completed |= this.betweenMessages;
		this.listener.decoded();
	}

	// Returns false if the library's decoder has to decode what comes next.
	private boolean readChunks(ByteBuf in, List<Object> out) {
		ChunkReader.Found found = this.chunks.read(in);
		ByteBuf data = this.chunks.data(in);
		if (data.isReadable()) {
			out.add(new DefaultHttpContent(data.retain()));
		}
		if (found == ChunkReader.Found.INVALID) {
			in.skipBytes(in.readableBytes());
			HttpContent invalid = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
			invalid.setDecoderResult(DecoderResult.failure(new InvalidChunkTerminationException()));
			out.add(invalid);
		}
		this.inChunks = found == ChunkReader.Found.INCOMPLETE;
		return this.inChunks || !out.isEmpty();
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Keeps both headers, so that HeadGuard can refuse the request.
	}

	/**
	 * The connection that a decoder works for.
	 */
	public interface Listener {

		/**
		 * Returns whether the connection can serve another request.
		 * @return {@code false} if the next request has to stay undecoded; followed by
		 * {@link StrictRequestDecoder#resume()}
		 */
		boolean decodesNext();

		/** Handles that a head, a part of a body, or an end was decoded. */
		void decoded();

		/**
		 * Handles what is kept after a read.
		 * @param bytes what undecoded bytes and incomplete heads take, in bytes
		 */
		void kept(long bytes);

	}

}
