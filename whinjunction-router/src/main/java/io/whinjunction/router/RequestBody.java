package io.whinjunction.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a caller's request. A small body is buffered completely, so that it can be
 * sent again; a larger one is streamed to the only attempt that it gets.
 * <p>
 * Invariant: a streamed body is never sent again. Confined to the event loop.
 */
final class RequestBody {

	/**
	 * Bodies up to this size are buffered completely, in bytes; most are a few kilobytes.
	 */
	private static final int MAX_BUFFERED_BYTES = 65_536;

	/**
	 * The same for requests whose answers can be resumed: the longest prompts that
	 * engines have memory for.
	 */
	private static final int MAX_BUFFERED_RESUMABLE_BYTES = 262_144;

	/**
	 * What a streamed body takes of memory at most, in bytes: what is held before it is
	 * sent, or what its upstream has not read.
	 */
	private static final int STREAMED_BYTES = 131_072;

	private final long contentLength;

	private int maxBufferedBytes = MAX_BUFFERED_BYTES;

	// On the heap, so that nothing has to be released.
	private ByteBuf buffer = Unpooled.buffer(0);

	private long receivedBytes;

	private boolean ended;

	private boolean passingThrough;

	/**
	 * Creates a body of which nothing was read yet.
	 * @param contentLength its length; -1 if unknown
	 */
	RequestBody(long contentLength) {
		this.contentLength = contentLength;
	}

	/** Buffers longer bodies, since an answer can be resumed only with the body. */
	void keepForResumption() {
		this.maxBufferedBytes = MAX_BUFFERED_RESUMABLE_BYTES;
	}

	long contentLength() {
		return this.contentLength;
	}

	/**
	 * Counts a chunk that was received.
	 * @param content the chunk
	 * @return the length of all chunks so far, in bytes
	 */
	long receivedWith(ByteBuf content) {
		this.receivedBytes += content.readableBytes();
		return this.receivedBytes;
	}

	/**
	 * Buffers a chunk if the body stays small with it.
	 * @param content the chunk, owned by the caller of this method
	 * @return {@code false} if the body has to be streamed
	 */
	boolean keep(ByteBuf content) {
		if (this.passingThrough || this.buffer.writerIndex() + content.readableBytes() > this.maxBufferedBytes) {
			return false;
		}
		this.buffer.writeBytes(content);
		return true;
	}

	/**
	 * Streams the body from now on.
	 * @return whether it was not streamed before
	 */
	boolean passThrough() {
		boolean first = !this.passingThrough;
		this.passingThrough = true;
		return first;
	}

	boolean passingThrough() {
		return this.passingThrough;
	}

	void end() {
		this.ended = true;
	}

	boolean ended() {
		return this.ended;
	}

	/**
	 * Appends a chunk to those that were read and not sent yet.
	 * @param content the chunk, owned by the caller of this method
	 */
	void hold(ByteBuf content) {
		this.buffer.writeBytes(content);
	}

	/**
	 * Returns what the body takes on the heap.
	 * @return bytes
	 */
	long heapBytes() {
		return this.passingThrough ? Math.max(STREAMED_BYTES, this.buffer.capacity()) : this.buffer.capacity();
	}

	/**
	 * Gives away what was read and not sent yet of a streamed body.
	 * @return the bytes, whose ownership passes on
	 */
	ByteBuf takeHeld() {
		ByteBuf held = this.buffer;
		this.buffer = Unpooled.buffer(0);
		return held;
	}

	/**
	 * Returns what was read and buffered.
	 * @return a view with a reader index of its own
	 */
	ByteBuf buffered() {
		return this.buffer.duplicate();
	}

}
