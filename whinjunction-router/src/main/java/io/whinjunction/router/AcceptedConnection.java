package io.whinjunction.router;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.whinjunction.http.server.StrictRequestDecoder;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.memory.MemoryShare;
import io.whinjunction.routing.CallerLimits;

/**
 * A connection that this process accepted, whoever made it: accounts for what it holds,
 * and closes it if it is too slow.
 * <p>
 * Invariants: whatever the connection holds is charged to its share of the memory budget
 * until it is closed; a request is decoded only when the one before it is answered.
 * Confined to the event loop.
 */
final class AcceptedConnection extends ChannelInboundHandlerAdapter
		implements StrictRequestDecoder.Listener, MemoryBudget.Holder {

	/** A channel with its handlers, in bytes on the heap. */
	private static final int CONNECTION_BYTES = 6144;

	/**
	 * Undecoded bytes of requests that were sent ahead up to which a connection is read,
	 * so that its close is noticed.
	 */
	private static final int MAX_AHEAD_BYTES = 16_384;

	private final AcceptedConnections port;

	private final Channel channel;

	private final StrictRequestDecoder decoder;

	private final MemoryShare share;

	private Requests requests;

	/** Whether the current request wants its body to be read. */
	private boolean bodyWanted = true;

	private long lastActivityMs;

	/** Since when a part of a message is kept; -1 while there is none. */
	private long incompleteSinceMs = -1;

	/**
	 * Creates the state of a new connection.
	 * @param port the connections of its port
	 * @param channel the connection
	 * @param budget the memory that callers may hold
	 * @param limits the limits of its requests
	 */
	AcceptedConnection(AcceptedConnections port, Channel channel, MemoryBudget budget, CallerLimits limits) {
		this.port = port;
		this.channel = channel;
		this.decoder = new StrictRequestDecoder(new HttpDecoderConfig().setMaxHeaderSize(limits.maxHeaderBytes())
			.setMaxInitialLineLength(limits.maxHeaderBytes()), this);
		this.requests = new ImmediateRequests(channel);
		this.lastActivityMs = port.nowMs();
		this.share = budget.open(this);
		this.share.set(MemoryShare.Use.CONNECTION, CONNECTION_BYTES);
		channel.closeFuture().addListener((closed) -> this.share.close());
	}

	StrictRequestDecoder decoder() {
		return this.decoder;
	}

	MemoryShare share() {
		return this.share;
	}

	/**
	 * Sets what serves the requests, if they are not answered at once.
	 * @param serving serves the requests from now on
	 */
	void serve(Requests serving) {
		this.requests = serving;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.port.opened(this);
		context.fireChannelActive();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.port.closed(this);
		context.fireChannelInactive();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		context.fireChannelWritabilityChanged();
		next();
	}

	@Override
	public boolean decodesNext() {
		return this.requests.takesNext();
	}

	@Override
	public void decoded() {
		this.incompleteSinceMs = -1;
		if (!this.requests.dropsBody()) {
			this.lastActivityMs = this.port.nowMs();
		}
	}

	@Override
	public void kept(long bytes) {
		if (bytes == 0) {
			this.incompleteSinceMs = -1;
		}
		else if (this.incompleteSinceMs < 0) {
			this.incompleteSinceMs = this.port.nowMs();
		}
		this.share.set(MemoryShare.Use.DECODING, bytes);
		updateReading(bytes);
	}

	/** Decodes the next request if it was received while another one was served. */
	void next() {
		if (this.requests.takesNext()) {
			if (this.incompleteSinceMs >= 0) {
				this.incompleteSinceMs = this.port.nowMs();
			}
			this.decoder.resume();
			updateReading(this.share.bytes(MemoryShare.Use.DECODING));
		}
	}

	/**
	 * Turns reading the body of the current request on or off.
	 * @param wanted whether to read
	 */
	void readBody(boolean wanted) {
		this.bodyWanted = wanted;
		updateReading(this.share.bytes(MemoryShare.Use.DECODING));
	}

	private void updateReading(long keptBytes) {
		this.channel.config().setAutoRead(this.bodyWanted && !full(keptBytes));
	}

	private boolean full(long keptBytes) {
		return keptBytes > MAX_AHEAD_BYTES && !this.requests.takesNext();
	}

	/**
	 * Looks whether the caller is still connected. Must not be called while this
	 * connection is being read.
	 * @return {@code false} if the caller has closed or reset the connection
	 */
	boolean connected() {
		return full(this.share.bytes(MemoryShare.Use.DECODING)) ? this.channel.isActive()
				: SocketLook.open(this.channel);
	}

	/**
	 * Closes the connection if its caller takes too long.
	 * @param nowMs the time
	 * @param limits how long heads may take, and how long it may be idle
	 */
	void closeIfSlow(long nowMs, CallerLimits limits) {
		// What stays undecoded until an answer is taken is not the head's delay.
		boolean inHead = this.incompleteSinceMs >= 0 && this.requests.awaitsHead() && this.requests.takesNext();
		if (inHead && nowMs - Math.max(this.incompleteSinceMs, activeAtMs()) > limits.headerTimeoutMs()) {
			this.port.shed(this, "header-timeout");
		}
		else if (this.requests.awaitsCaller() && nowMs - activeAtMs() > limits.idleTimeoutMs()) {
			this.channel.close();
		}
	}

	/**
	 * Returns when its caller or its requests last advanced.
	 * @return the time in milliseconds
	 */
	long activeAtMs() {
		return Math.max(this.lastActivityMs, this.requests.activeAtMs());
	}

	/**
	 * Returns whether closing it loses no request.
	 * @return whether none has been received completely
	 */
	boolean awaitsHead() {
		return this.requests.awaitsHead();
	}

	void close() {
		this.channel.close();
	}

	@Override
	public State state() {
		return this.requests.state();
	}

	@Override
	public void shed() {
		this.requests.shed();
		this.share.recovered();
	}

	/** Serves the requests of one connection. */
	interface Requests {

		/**
		 * Returns whether another request, or the rest of the current one, is taken now.
		 * @return {@code false} while a complete request waits for its answer
		 */
		boolean takesNext();

		/**
		 * Returns whether no request has begun.
		 * @return {@code false} from the head of a request to its end and its answer
		 */
		boolean awaitsHead();

		/**
		 * Returns whether the next step is the caller's.
		 * @return {@code false} while a complete request waits for its answer
		 */
		boolean awaitsCaller();

		/**
		 * Returns whether what arrives is dropped, as its request was answered early.
		 * @return {@code false} if it is a part of a request that is served
		 */
		boolean dropsBody();

		/**
		 * Returns when a request last advanced.
		 * @return the time in milliseconds
		 */
		long activeAtMs();

		/**
		 * Returns what would be lost if the connection gave up what it holds.
		 * @return the state
		 */
		State state();

		/** Gives up what the connection holds. */
		void shed();

	}

	/** Requests that are answered as soon as they are decoded. */
	private record ImmediateRequests(Channel channel) implements Requests {

		@Override
		public boolean takesNext() {
			return this.channel.isWritable();
		}

		@Override
		public boolean awaitsHead() {
			return true;
		}

		@Override
		public boolean awaitsCaller() {
			return true;
		}

		@Override
		public boolean dropsBody() {
			return false;
		}

		@Override
		public long activeAtMs() {
			return Long.MIN_VALUE;
		}

		@Override
		public State state() {
			return State.UNSENT;
		}

		@Override
		public void shed() {
			this.channel.close();
		}

	}

}
