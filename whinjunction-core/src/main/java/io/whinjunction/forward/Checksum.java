package io.whinjunction.forward;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Checksum of 64 bits that consists of two of 32 bits: cheap enough to compute for each
 * request, but no protection from an input that is constructed to collide. Stateless.
 */
final class Checksum {

	private static final int HALF_BITS = 32;

	private Checksum() {
	}

	/**
	 * Computes the checksum of consecutive bytes.
	 * @param buffers the bytes; their positions are unchanged
	 * @return the checksum
	 */
	static long of(ByteBuffer... buffers) {
		CRC32C high = new CRC32C();
		CRC32 low = new CRC32();
		for (ByteBuffer buffer : buffers) {
			high.update(buffer.duplicate());
			low.update(buffer.duplicate());
		}
		return high.getValue() << HALF_BITS | low.getValue();
	}

}
