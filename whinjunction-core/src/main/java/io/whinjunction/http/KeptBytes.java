package io.whinjunction.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * What the decoder of a connection keeps of a message that is not complete, at its cost
 * on the heap.
 * <p>
 * Invariant: after the end of each message nothing is counted. One per connection;
 * confined to its event loop.
 */
public final class KeptBytes {

	/**
	 * What a decoded field takes on the heap beside its bytes, in bytes: an entry of the
	 * table, a name and a value.
	 */
	public static final int FIELD_BYTES = 160;

	/** What the decoded part of an incomplete head or trailer takes, in bytes. */
	private long partialBytes;

	/**
	 * Adds received bytes to those that are not decoded. They are kept on the heap, in
	 * buffers of their own size, so that a few bytes do not keep a large read buffer.
	 * @param allocator not used
	 * @param kept what was kept so far; released
	 * @param in what was received; released
	 * @return both
	 */
	public static ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf kept, ByteBuf in) {
		try {
			if (!in.isReadable()) {
				return kept;
			}
			if (kept.isReadable() && kept.readerIndex() == 0 && kept.refCnt() == 1) {
				return kept.writeBytes(in);
			}
			ByteBuf own = Unpooled.buffer(kept.readableBytes() + in.readableBytes());
			own.writeBytes(kept).writeBytes(in);
			kept.release();
			return own;
		}
		finally {
			in.release();
		}
	}

	/**
	 * Counts bytes that were decoded without completing a message.
	 * @param in the bytes, of which those before the reader index are decoded
	 * @param from the index of the first one
	 */
	public void decoded(ByteBuf in, int from) {
		this.partialBytes += heapBytes(in, from);
	}

	/** Records that a head, a part of a body, or an end is complete. */
	public void completed() {
		this.partialBytes = 0;
	}

	/**
	 * Returns what the decoded part of an incomplete head or trailer takes.
	 * @return bytes
	 */
	public long partialBytes() {
		return this.partialBytes;
	}

	// A line that begins with white space continues the field before it. Blank lines
	// before a head are not kept.
	private long heapBytes(ByteBuf in, int from) {
		long fields = 0;
		boolean lineBegins = true;
		for (int index = from; index < in.readerIndex(); index++) {
			byte read = in.getByte(index);
			if (lineBegins && (read > ' ' || read < 0)) {
				fields++;
			}
			lineBegins = read == '\n';
		}
		boolean blank = this.partialBytes == 0 && fields == 0;
		return blank ? 0 : in.readerIndex() - from + fields * FIELD_BYTES;
	}

}
