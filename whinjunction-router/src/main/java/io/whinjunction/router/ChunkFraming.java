package io.whinjunction.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

/**
 * Frames a small piece of an answer as one chunk of HTTP/1.1, in one buffer.
 * <p>
 * The load it answers: hundreds of events a second, each of some hundred bytes. The
 * library's encoder hands out three buffers for a chunk, each with a promise of its own;
 * copying so few bytes costs less. Stateless.
 */
final class ChunkFraming {

	/** Larger pieces aren't copied, in bytes. */
	static final int MOST_BYTES = 4096;

	/** The length in hexadecimal digits and two ends of lines, in bytes. */
	private static final int FRAME_BYTES = Integer.BYTES * 2 + 4;

	private static final int CR_LF = '\r' << Byte.SIZE | '\n';

	private ChunkFraming() {
	}

	/**
	 * Whether a piece is framed here. An empty one never is: an empty chunk ends an
	 * answer.
	 * @param content the piece
	 * @return whether {@link #frame} takes it
	 */
	static boolean takes(ByteBuf content) {
		return content.isReadable() && content.readableBytes() <= MOST_BYTES;
	}

	/**
	 * Frames a piece.
	 * @param allocator where the buffer comes from
	 * @param content the piece, whose ownership passes on
	 * @return the chunk, owned by the caller
	 */
	static ByteBuf frame(ByteBufAllocator allocator, ByteBuf content) {
		try {
			ByteBuf chunk = allocator.ioBuffer(content.readableBytes() + FRAME_BYTES);
			ByteBufUtil.writeAscii(chunk, Integer.toHexString(content.readableBytes()));
			ByteBufUtil.writeShortBE(chunk, CR_LF);
			chunk.writeBytes(content);
			ByteBufUtil.writeShortBE(chunk, CR_LF);
			return chunk;
		}
		finally {
			content.release();
		}
	}

}
