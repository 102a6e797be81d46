package io.whinjunction.router;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.whinjunction.http.BoundedReads;
import io.whinjunction.time.Ticker;
import jdk.net.ExtendedSocketOptions;

/**
 * Pools connections to upstreams, by the incarnation of the upstream and not by its
 * address, since addresses are reused by other upstreams.
 * <p>
 * Invariant: a connection is either idle here or carries one request. Confined to the
 * event loop.
 */
final class UpstreamPool {

	/**
	 * Connecting takes two round trips of a few milliseconds; a lost packet costs a
	 * second.
	 */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/**
	 * How long an idle connection is reused, in milliseconds: most upstreams keep theirs
	 * longer, and middleboxes between the two ends have not dropped its state yet.
	 */
	private static final long MAX_IDLE_MS = 3_000;

	/**
	 * TCP keep-alive detects a connection whose other end is silent after about three
	 * seconds.
	 */
	private static final int KEEPALIVE_SECONDS = 1;

	private static final int KEEPALIVE_PROBES = 2;

	/** The options of all connections, without a handler. */
	private final Bootstrap connecting;

	private final Dialect dialect;

	private final Ticker ticker;

	private final UpstreamAvailability availability;

	private final Evidence evidence;

	private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();

	/** When an upstream last reset a connection within an answer, in milliseconds. */
	private final Map<String, Long> brokeOffAtMs = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param loop the event loop of all connections
	 * @param dialect the names on the wire
	 * @param ticker the clock
	 * @param availability receives the head of each answer
	 * @param evidence receives which connections are made, and which fail
	 */
	UpstreamPool(EventLoop loop, Dialect dialect, Ticker ticker, UpstreamAvailability availability, Evidence evidence) {
		this.connecting = new Bootstrap().group(loop)
			.channelFactory(UpstreamSocket::new)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RCVBUF_ALLOCATOR, BoundedReads.allocator())
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
		this.dialect = dialect;
		this.ticker = ticker;
		this.availability = availability;
		this.evidence = evidence;
	}

	/**
	 * Acquires a connection.
	 * @param upstream the upstream
	 * @param fresh whether a new connection is required
	 * @param maxConnectMs how long connecting may take at most, in milliseconds
	 * @param done called with the outcome
	 */
	void acquire(Upstream upstream, boolean fresh, long maxConnectMs, Consumer<Acquisition> done) {
		UpstreamConnection pooled = fresh ? null : poll(upstream.incarnation());
		if (pooled != null) {
			done.accept(new Acquisition.Connected(pooled));
			return;
		}
		connect(upstream, maxConnectMs, done);
	}

	/**
	 * Processes the head of an answer, also of one that is surplus or belongs to another
	 * request: it comes from the same upstream.
	 * @param upstream the upstream
	 * @param head the head
	 */
	void answered(Upstream upstream, UpstreamHead head) {
		// What a router passes on was stated by an upstream, and processed by the router.
		if (!upstream.isRouter()) {
			this.availability.answered(upstream, head.status(), head.notice());
		}
	}

	/**
	 * Records that data was received over a connection.
	 * @param upstream the upstream
	 */
	void heard(Upstream upstream) {
		this.evidence.reachability().heard(upstream);
		this.evidence.ended().lives(upstream.incarnation());
	}

	/**
	 * Records that an upstream reset a connection within an answer, as a crash does.
	 * @param upstream the upstream
	 */
	void brokeOff(Upstream upstream) {
		this.brokeOffAtMs.put(upstream.incarnation(), this.ticker.nowMs());
	}

	/**
	 * Whether an upstream broke off an answer lately.
	 * @param upstream the upstream
	 * @param durationMs how far back, in milliseconds
	 * @return whether it did within that time
	 */
	boolean brokeOffWithin(Upstream upstream, long durationMs) {
		Long atMs = this.brokeOffAtMs.get(upstream.incarnation());
		return atMs != null && this.ticker.nowMs() - atMs <= durationMs;
	}

	void release(UpstreamConnection connection) {
		connection.idleSince(this.ticker.nowMs());
		this.idle.computeIfAbsent(connection.upstream().incarnation(), (id) -> new ArrayDeque<>()).push(connection);
	}

	void remove(UpstreamConnection connection) {
		Deque<UpstreamConnection> ofUpstream = this.idle.get(connection.upstream().incarnation());
		if (ofUpstream != null) {
			ofUpstream.remove(connection);
		}
	}

	/**
	 * Closes the idle connections to an upstream that is leaving or gone.
	 * @param upstreamId the incarnation of the upstream
	 */
	void drop(String upstreamId) {
		Deque<UpstreamConnection> ofUpstream = this.idle.remove(upstreamId);
		if (ofUpstream != null) {
			ofUpstream.forEach((connection) -> connection.channel().close());
		}
	}

	/** Closes connections that have been idle for too long. */
	void sweep() {
		long nowMs = this.ticker.nowMs();
		for (Deque<UpstreamConnection> ofUpstream : this.idle.values()) {
			while (!ofUpstream.isEmpty() && !ofUpstream.peekLast().usable(nowMs, MAX_IDLE_MS)) {
				ofUpstream.pollLast().channel().close();
			}
		}
		this.idle.values().removeIf(Deque::isEmpty);
		this.brokeOffAtMs.values().removeIf((atMs) -> nowMs - atMs > MAX_IDLE_MS);
	}

	private UpstreamConnection poll(String upstreamId) {
		Deque<UpstreamConnection> ofUpstream = this.idle.get(upstreamId);
		while (ofUpstream != null && !ofUpstream.isEmpty()) {
			UpstreamConnection connection = ofUpstream.pop();
			if (connection.usable(this.ticker.nowMs(), MAX_IDLE_MS) && connection.quiet()) {
				return connection;
			}
			connection.channel().close();
		}
		return null;
	}

	private void connect(Upstream upstream, long maxConnectMs, Consumer<Acquisition> done) {
		UpstreamConnection connection = new UpstreamConnection(this, upstream, this.dialect);
		Bootstrap bootstrap = this.connecting.clone();
		if (maxConnectMs < CONNECT_TIMEOUT_MS) {
			bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, maxConnectMs));
		}
		bootstrap.handler(new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline().addLast(connection.decoder(), new HttpRequestEncoder(), connection);
			}

		});
		ChannelFuture connecting = bootstrap.connect(Addresses.parse(upstream.address()));
		connection.attach(connecting.channel());
		long startedMs = this.ticker.nowMs();
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				this.evidence.reachability().connected(upstream);
				this.evidence.ended().lives(upstream.incarnation());
				done.accept(new Acquisition.Connected(connection));
			}
			else {
				Acquisition failed = failure(future.cause());
				this.evidence.reachability().connectFailed(upstream, startedMs);
				this.evidence.ended().connectFailed(upstream, startedMs, failed instanceof Acquisition.Refused);
				done.accept(failed);
			}
		});
	}

	// A timeout is a subtype of the exception of a refused connection.
	private static Acquisition failure(Throwable cause) {
		boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
		return refused ? new Acquisition.Refused() : new Acquisition.Failed();
	}

	/**
	 * Receives what connections tell about upstreams.
	 *
	 * @param reachability judges this router's paths to them
	 * @param ended judges whether they have ended
	 */
	record Evidence(ReachabilityMonitor reachability, EndedUpstreams ended) {
	}

}
