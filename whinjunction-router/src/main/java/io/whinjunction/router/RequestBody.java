package io.whinjunction.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a caller's request. A small one is kept whole, so that it can be sent
 * again; a larger one passes through to the one attempt that it gets.
 * <p>
 * Invariant: what passes through is never sent again. Confined to the event loop.
 */
final class RequestBody {

	/**
	 * Bodies up to this size are kept whole, in bytes; most are a few kilobytes.
	 */
	private static final int MOST_KEPT_BYTES = 65_536;

	private final long announcedBytes;

	// On the heap, so that nothing has to be released.
	private final ByteBuf read = Unpooled.buffer(0);

	private boolean ended;

	private boolean passingThrough;

	/**
	 * A body of which nothing was read yet.
	 * @param announcedBytes its length; -1 where it isn't known
	 */
	RequestBody(long announcedBytes) {
		this.announcedBytes = announcedBytes;
	}

	long announcedBytes() {
		return this.announcedBytes;
	}

	/**
	 * How long it is with one more piece, as far as it was kept.
	 * @param content the piece
	 * @return bytes
	 */
	long bytesWith(ByteBuf content) {
		return this.read.writerIndex() + (long) content.readableBytes();
	}

	/**
	 * Keeps a piece where all of it is still small.
	 * @param content the piece, owned by the caller of this method
	 * @return {@code false} where the body has to pass through
	 */
	boolean keep(ByteBuf content) {
		if (this.passingThrough || bytesWith(content) > MOST_KEPT_BYTES) {
			return false;
		}
		this.read.writeBytes(content);
		return true;
	}

	/**
	 * Lets the body pass through from now on.
	 * @return whether it did not before
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
	 * Puts a piece behind those that were read and not sent yet.
	 * @param content the piece, owned by the caller of this method
	 */
	void hold(ByteBuf content) {
		this.read.writeBytes(content);
	}

	/**
	 * What was read and kept.
	 * @return a view with a reader of its own
	 */
	ByteBuf soFar() {
		return this.read.duplicate();
	}

}
