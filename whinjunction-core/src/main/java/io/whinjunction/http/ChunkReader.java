package io.whinjunction.router;

import io.netty.buffer.ByteBuf;

/**
 * Finds the data of plain chunks, whose size line has no more than the size, in the bytes
 * of a body. Any other line, that of the last chunk too, is left to the caller.
 * <p>
 * Invariant: a size line is read completely or not at all, so that another decoder may
 * take over at each {@link Found#OTHER_LINE}. Confined to the event loop.
 */
final class ChunkReader {

	/** A size of more digits is left to the caller, as it may not fit an integer. */
	private static final int MAX_SIZE_DIGITS = 7;

	private static final int HEX_RADIX = 16;

	private static final short CR_LF = 0x0D0A;

	/** Bytes of the current chunk that were not announced by {@link #read} yet. */
	private int leftBytes;

	private boolean inChunk;

	private int dataBytes;

	/** Begins a body. */
	void begin() {
		this.leftBytes = 0;
		this.inChunk = false;
	}

	/**
	 * Reads up to the next data.
	 * @param in the bytes; after {@link Found#DATA} the caller reads {@link #dataBytes()}
	 * of them before the next call
	 * @return what comes next
	 */
	Found read(ByteBuf in) {
		if (this.inChunk && this.leftBytes == 0) {
			if (in.readableBytes() < Short.BYTES) {
				return Found.INCOMPLETE;
			}
			if (in.readShort() != CR_LF) {
				return Found.INVALID;
			}
			this.inChunk = false;
		}
		if (!this.inChunk) {
			Found size = readSize(in);
			if (size != Found.DATA) {
				return size;
			}
		}
		this.dataBytes = Math.min(this.leftBytes, in.readableBytes());
		this.leftBytes -= this.dataBytes;
		return (this.dataBytes > 0) ? Found.DATA : Found.INCOMPLETE;
	}

	/**
	 * Returns how many bytes of data come next.
	 * @return the count, after {@link Found#DATA}
	 */
	int dataBytes() {
		return this.dataBytes;
	}

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
		return Found.DATA;
	}

	/** What comes next in a body. */
	enum Found {

		/** Data of a chunk. */
		DATA,
		/** Further bytes are needed. */
		INCOMPLETE,
		/** A line, not read yet, that is not the size of a plain chunk. */
		OTHER_LINE,
		/** Bytes that don't end the chunk that was read. */
		INVALID

	}

}
