package io.whinjunction.router;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.routing.CallerLimits;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * The connections that were accepted on one port.
 * <p>
 * Guards against connections that use up the descriptors of the process: if there are too
 * many, those that have waited longest for a head are closed, then those whose request no
 * upstream has; the newest one is closed only if there are no others. Confined to the
 * event loop.
 */
final class AcceptedConnections {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The part of the connections that is closed at a time, so that few are sorted. */
	private static final int CLOSED_DIVISOR = 32;

	private static final int LOG_INTERVAL_S = 1;

	private static final Comparator<AcceptedConnection> LONGEST_IDLE_FIRST = Comparator
		.comparing(AcceptedConnection::awaitsHead)
		.reversed()
		.thenComparingLong(AcceptedConnection::activeAtMs);

	private final RouterContext router;

	private final MemoryBudget budget;

	private final String name;

	private final int maxConnections;

	private final Set<AcceptedConnection> open = new LinkedHashSet<>();

	/**
	 * Creates an instance without connections.
	 * @param router the clock, the configuration and the metrics
	 * @param budget the memory that callers may hold
	 * @param name the name of the port, for logs
	 * @param maxConnections the number of connections that may be open
	 */
	AcceptedConnections(RouterContext router, MemoryBudget budget, String name, int maxConnections) {
		this.router = router;
		this.budget = budget;
		this.name = name;
		this.maxConnections = maxConnections;
	}

	/**
	 * Builds the pipeline of a new connection.
	 * @param channel the connection
	 * @param handler creates what handles its requests
	 */
	void initialize(SocketChannel channel, Function<AcceptedConnection, ChannelHandler> handler) {
		AcceptedConnection connection = new AcceptedConnection(this, channel, this.budget, limits());
		channel.pipeline()
			.addLast(connection.decoder(), new HttpResponseEncoder(), connection, handler.apply(connection));
	}

	private CallerLimits limits() {
		RoutingConfiguration configuration = this.router.configuration();
		return (configuration != null) ? configuration.limits() : CallerLimits.DEFAULT;
	}

	void opened(AcceptedConnection connection) {
		this.open.add(connection);
		if (this.open.size() > this.maxConnections) {
			makeRoom(connection);
		}
	}

	private void makeRoom(AcceptedConnection newest) {
		List<AcceptedConnection> closable = this.open.stream()
			.filter((connection) -> connection != newest && connection.state() == MemoryBudget.Holder.State.UNSENT)
			.sorted(LONGEST_IDLE_FIRST)
			.limit(Math.max(1, this.maxConnections / CLOSED_DIVISOR))
			.toList();
		(closable.isEmpty() ? List.of(newest) : closable).forEach((connection) -> shed(connection, "connections"));
	}

	void closed(AcceptedConnection connection) {
		this.open.remove(connection);
	}

	/**
	 * Closes a connection that takes what others need.
	 * @param connection the connection
	 * @param reason what it takes too much of
	 */
	void shed(AcceptedConnection connection, String reason) {
		this.router.metrics().callerShed(reason);
		logger.atWarning()
			.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
			.log("event=caller-shed reason=%s port=%s connections=%d max-connections=%d held-bytes=%d", reason,
					this.name, this.open.size(), this.maxConnections, connection.share().bytes());
		connection.close();
	}

	/** Closes the connections whose callers take too long. */
	void sweep() {
		long nowMs = nowMs();
		CallerLimits limits = limits();
		List.copyOf(this.open).forEach((connection) -> connection.closeIfSlow(nowMs, limits));
	}

	long nowMs() {
		return this.router.nowMs();
	}

}
