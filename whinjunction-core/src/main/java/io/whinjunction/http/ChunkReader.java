package io.whinjunction.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * Gathers the data of plain chunks, whose size line has no more than the size, from the
 * bytes of a body. Any other line, that of the last chunk too, is left to another
 * decoder. A body of small chunks costs far less than with an object for each of them.
 * <p>
 * Invariant: a size line is read completely or not at all, so that another decoder may
 * take over at each {@link Found#OTHER_LINE}. One per connection; confined to its event
 * loop.
 */
public final class ChunkReader {

	/** A size of more digits is left to the caller, as it may not fit an integer. */
	private static final int MAX_SIZE_DIGITS = 7;

	private static final int HEX_RADIX = 16;

	private static final short CR_LF = 0x0D0A;

	private static final int SMALL_SIZE_DIGITS = 2;

	private static final int SCRATCH_BYTES = 16_384;

	private static final FastThreadLocal<byte[]> SCRATCH = new FastThreadLocal<>() {

		@Override
		protected byte[] initialValue() {
			return new byte[SCRATCH_BYTES];
		}

	};

	/** Bytes of the current chunk that were not gathered yet. */
	private int leftBytes;

	private boolean inChunk;

	/** The data that was gathered last. */
	private int dataAt;

	private int dataBytes;

	/**
	 * Returns whether this class can read the body of a message.
	 * @param head the head of the message
	 * @return whether the body has chunks, and no other framing
	 */
	public static boolean reads(HttpMessage head) {
		List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		return codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst())
				&& !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				&& HttpVersion.HTTP_1_1.equals(head.protocolVersion());
	}

	/** Begins a body. */
	public void begin() {
		this.leftBytes = 0;
		this.inChunk = false;
	}

	/**
	 * Gathers the data of all plain chunks that come next: it is moved together within
	 * the buffer.
	 * @param in the bytes, of which those that belong to the chunks are read
	 * @return what comes next
	 */
	public Found read(ByteBuf in) {
		this.dataAt = in.readerIndex();
		this.dataBytes = 0;
		Found found = null;
		while (found == null) {
			if (!this.inChunk) {
				readSmallChunks(in);
			}
			found = readChunk(in);
		}
		return found;
	}

	/**
	 * Returns the data that was gathered by the last read.
	 * @param in the bytes that were read
	 * @return a part of them, not retained; not readable if there was none
	 */
	public ByteBuf data(ByteBuf in) {
		return in.slice(this.dataAt, this.dataBytes);
	}

	// Reads complete chunks of few bytes in an array, as access to a buffer checks its
	// bounds each time. Stops at whatever else comes.
	private void readSmallChunks(ByteBuf in) {
		byte[] bytes = SCRATCH.get();
		int length = Math.min(in.readableBytes(), bytes.length);
		in.getBytes(in.readerIndex(), bytes, 0, length);
		int gathered = 0;
		int at = 0;
		while (true) {
			int size = 0;
			int dataAt = at;
			while (dataAt < length && dataAt - at < SMALL_SIZE_DIGITS && bytes[dataAt] != '\r') {
				int digit = Character.digit(bytes[dataAt++], HEX_RADIX);
				size = (digit >= 0 && size >= 0) ? size * HEX_RADIX + digit : -1;
			}
			int end = dataAt + Short.BYTES + size + Short.BYTES;
			if (size <= 0 || end > length || !isLineEnd(bytes, dataAt) || !isLineEnd(bytes, end - Short.BYTES)) {
				break;
			}
			for (int from = dataAt + Short.BYTES; from < end - Short.BYTES; from++) {
				bytes[gathered++] = bytes[from];
			}
			at = end;
		}
		if (gathered > 0) {
			this.dataAt = (this.dataBytes > 0) ? this.dataAt : in.readerIndex();
			in.setBytes(this.dataAt + this.dataBytes, bytes, 0, gathered);
			this.dataBytes += gathered;
			in.skipBytes(at);
		}
	}

	private static boolean isLineEnd(byte[] bytes, int at) {
		return bytes[at] == '\r' && bytes[at + 1] == '\n';
	}

	// Reads a size line, data or the end of a chunk; returns null if there was one.
	private Found readChunk(ByteBuf in) {
		if (!this.inChunk) {
			return readSize(in);
		}
		if (this.leftBytes > 0) {
			int bytes = Math.min(this.leftBytes, in.readableBytes());
			gather(in, bytes);
			return (bytes > 0) ? null : Found.INCOMPLETE;
		}
		if (in.readableBytes() < Short.BYTES) {
			return Found.INCOMPLETE;
		}
		if (in.readShort() != CR_LF) {
			return Found.INVALID;
		}
		this.inChunk = false;
		return null;
	}

	private void gather(ByteBuf in, int bytes) {
		if (this.dataBytes == 0) {
			this.dataAt = in.readerIndex();
		}
		else {
			in.setBytes(this.dataAt + this.dataBytes, in, in.readerIndex(), bytes);
		}
		in.skipBytes(bytes);
		this.dataBytes += bytes;
		this.leftBytes -= bytes;
	}

	// Returns null if a size was read.
	private Found readSize(ByteBuf in) {
		int first = in.readerIndex();
		int end = in.writerIndex();
		int size = 0;
		for (int at = first; at < end; at++) {
			byte next = in.getByte(at);
			if (next == '\r') {
				return readSizeEnd(in, at, size);
			}
			int digit = Character.digit(next, HEX_RADIX);
			if (digit < 0 || at - first == MAX_SIZE_DIGITS) {
				return Found.OTHER_LINE;
			}
			size = size * HEX_RADIX + digit;
		}
		return Found.INCOMPLETE;
	}

	private Found readSizeEnd(ByteBuf in, int at, int size) {
		if (size == 0) {
			return Found.OTHER_LINE;
		}
		if (at + 1 == in.writerIndex()) {
			return Found.INCOMPLETE;
		}
		if (in.getByte(at + 1) != '\n') {
			return Found.OTHER_LINE;
		}
		in.readerIndex(at + 2);
		this.leftBytes = size;
		this.inChunk = true;
		return null;
	}

	/** What comes next in a body. */
	public enum Found {

		/** Further bytes are needed. */
		INCOMPLETE,
		/** A line, not read yet, that is not the size of a plain chunk. */
		OTHER_LINE,
		/** Bytes that don't end the chunk that was read. */
		INVALID

	}

}
