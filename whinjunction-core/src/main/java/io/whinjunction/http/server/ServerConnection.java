package io.whinjunction.http.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.memory.MemoryShare;

/**
 * A connection that a server accepted: accounts for what its decoder keeps, and stops
 * reading while requests that were sent ahead fill a buffer.
 * <p>
 * Invariant: its share of the memory budget is closed with the connection. Confined to
 * its event loop, except for what the budget and the server ask of it.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter
		implements StrictRequestDecoder.Listener, MemoryBudget.Holder {

	/** A channel with its handlers, in bytes on the heap. */
	private static final int CONNECTION_BYTES = 8192;

	/** Undecoded bytes of requests that were sent ahead up to which it is read. */
	private static final int MAX_AHEAD_BYTES = 16_384;

	private final Channel channel;

	private final MemoryShare share;

	private final SlowRequestGuard guard;

	private StrictRequestDecoder decoder;

	private volatile int streams;

	private volatile long activeAtNs = System.nanoTime();

	ServerConnection(Channel channel, MemoryBudget budget, SlowRequestGuard guard) {
		this.channel = channel;
		this.guard = guard;
		this.share = budget.open(this);
		this.share.set(MemoryShare.Use.CONNECTION, CONNECTION_BYTES);
		channel.closeFuture().addListener((closed) -> this.share.close());
	}

	SlowRequestGuard guard() {
		return this.guard;
	}

	void decodeWith(StrictRequestDecoder requests) {
		this.decoder = requests;
	}

	/**
	 * Counts an HTTP/2 stream until it is closed.
	 * @param stream the stream
	 */
	void streamOpened(Channel stream) {
		this.streams++;
		stream.closeFuture().addListener((closed) -> {
			this.streams--;
			this.activeAtNs = System.nanoTime();
		});
	}

	@Override
	public boolean decodesNext() {
		return !this.guard.busy();
	}

	@Override
	public void decoded() {
		this.activeAtNs = System.nanoTime();
	}

	@Override
	public void kept(long bytes) {
		this.share.set(MemoryShare.Use.DECODING, bytes);
		updateReading(bytes);
	}

	private void updateReading(long keptBytes) {
		this.channel.config().setAutoRead(keptBytes <= MAX_AHEAD_BYTES || decodesNext());
	}

	/**
	 * Decodes the next request, as the one before it was answered.
	 * @param context a handler of the connection
	 */
	void next(ChannelHandlerContext context) {
		if (this.decoder == null) {
			return;
		}
		if (this.decoder.hasUndecoded()) {
			this.guard.receive(context);
		}
		this.decoder.resume();
		updateReading(this.share.bytes(MemoryShare.Use.DECODING));
	}

	/**
	 * Returns whether closing the connection loses no request. May be called by any
	 * thread.
	 * @return whether no request is being received or served
	 */
	boolean idle() {
		return this.streams == 0 && !this.guard.busy();
	}

	long activeAtNs() {
		return this.activeAtNs;
	}

	void close() {
		this.channel.close();
	}

	@Override
	public State state() {
		return idle() ? State.UNSENT : State.SENT;
	}

	@Override
	public void shed() {
		this.channel.close();
	}

}
