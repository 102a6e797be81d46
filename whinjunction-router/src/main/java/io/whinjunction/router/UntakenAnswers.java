package io.whinjunction.router;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.whinjunction.memory.MemoryShare;

/**
 * Charges what a connection holds of its answers since their caller does not read.
 * <p>
 * Invariant: after each flush all bytes that are left in the channel are charged, in
 * pieces of any size, until they are written or the connection is closed. Confined to the
 * event loop.
 */
final class UntakenAnswers {

	private final Channel channel;

	private final BufferedAnswers buffered;

	private final MemoryShare share;

	/** The last write that may not be written yet. */
	private ChannelFuture lastWrite;

	private long chargedBytes;

	/**
	 * Creates a charge of nothing.
	 * @param channel the connection to the caller
	 * @param buffered counts the bytes of all connections
	 * @param share the share of the connection
	 */
	UntakenAnswers(Channel channel, BufferedAnswers buffered, MemoryShare share) {
		this.channel = channel;
		this.buffered = buffered;
		this.share = share;
	}

	/**
	 * Notes a write, which is charged when the channel was flushed.
	 * @param writing completes when the bytes are written, or never will be
	 */
	void wrote(ChannelFuture writing) {
		this.lastWrite = writing;
	}

	/** Charges what is left after a flush. May close the connection. */
	void flushed() {
		update();
		ChannelFuture writing = this.lastWrite;
		this.lastWrite = null;
		if (writing != null && !writing.isDone()) {
			// The channel counts the bytes of a write until its listeners have been told.
			writing.addListener((written) -> this.channel.eventLoop().execute(this::update));
		}
	}

	/** Charges what is left now. */
	void update() {
		long change = unwrittenBytes() - this.chargedBytes;
		if (change != 0) {
			this.chargedBytes += change;
			this.buffered.add(this.share, change);
		}
	}

	/**
	 * Returns what was left at the last flush, and is not known to be written since.
	 * @return bytes
	 */
	long chargedBytes() {
		return this.chargedBytes;
	}

	/**
	 * Returns what the channel holds now, flushed or not.
	 * @return bytes; 0 if the connection is closed
	 */
	long unwrittenBytes() {
		ChannelOutboundBuffer unwritten = this.channel.unsafe().outboundBuffer();
		return (unwritten != null) ? unwritten.totalPendingWriteBytes() : 0;
	}

}
