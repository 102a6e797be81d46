package io.whinjunction.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Writes data as a chunk of a body, in one buffer. Stateless.
 */
final class ChunkWriter {

	/** A size of up to eight digits, and two line ends. */
	private static final int MAX_FRAME_BYTES = 12;

	private static final int CR_LF = 0x0D0A;

	private static final byte[] DIGITS = { '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e',
			'f' };

	private static final int BITS_PER_DIGIT = 4;

	private ChunkWriter() {
	}

	/**
	 * Copies data into a chunk.
	 * @param allocator the allocator of the connection
	 * @param data at least one byte, since an empty chunk would end the body; owned by
	 * the caller
	 * @return the chunk with its size line and its end
	 */
	static ByteBuf chunk(ByteBufAllocator allocator, ByteBuf data) {
		int size = data.readableBytes();
		ByteBuf chunk = allocator.ioBuffer(size + MAX_FRAME_BYTES);
		int shift = (Integer.SIZE - 1 - Integer.numberOfLeadingZeros(size)) / BITS_PER_DIGIT * BITS_PER_DIGIT;
		for (; shift >= 0; shift -= BITS_PER_DIGIT) {
			chunk.writeByte(DIGITS[(size >>> shift) % DIGITS.length]);
		}
		return chunk.writeShort(CR_LF).writeBytes(data).writeShort(CR_LF);
	}

}
