package io.whinjunction.http.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;

/**
 * The connections that one server has accepted.
 * <p>
 * Guards against connections that use up the descriptors of the process: if there are too
 * many, those that have been idle longest are closed; the newest one only if there are no
 * others. Thread-safe.
 */
final class ServerConnections {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The part of the process's descriptors that the connections may take. */
	private static final int DESCRIPTORS_DIVISOR = 3;

	/** Where the system tells no number of descriptors. */
	private static final int DEFAULT_DESCRIPTORS = 4096;

	/** The part of the connections that is closed at a time, so that few are sorted. */
	private static final int CLOSED_DIVISOR = 32;

	private final Set<ServerConnection> open = ConcurrentHashMap.newKeySet();

	private final int maxConnections = maxDescriptors() / DESCRIPTORS_DIVISOR;

	private static int maxDescriptors() {
		String field = "Max open files";
		try {
			for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
				if (line.startsWith(field)) {
					return Integer.parseInt(line.substring(field.length()).trim().split("\\s+")[0]);
				}
			}
		}
		catch (IOException | NumberFormatException ex) {
			logger.atInfo()
				.withCause(ex)
				.log("the limit of descriptors can't be read; %d is taken", DEFAULT_DESCRIPTORS);
		}
		return DEFAULT_DESCRIPTORS;
	}

	void opened(ServerConnection connection, Channel channel) {
		this.open.add(connection);
		channel.closeFuture().addListener((closed) -> this.open.remove(connection));
		if (this.open.size() > this.maxConnections) {
			makeRoom(connection);
		}
	}

	private synchronized void makeRoom(ServerConnection newest) {
		List<ServerConnection> idle = this.open.stream()
			.filter((connection) -> connection != newest && connection.idle())
			.sorted(Comparator.comparingLong(ServerConnection::activeAtNs))
			.limit(Math.max(1, this.maxConnections / CLOSED_DIVISOR))
			.toList();
		logger.atWarning()
			.atMostEvery(1, TimeUnit.SECONDS)
			.log("more than %d connections: %d idle ones are closed", this.maxConnections, idle.size());
		(idle.isEmpty() ? List.of(newest) : idle).forEach(ServerConnection::close);
	}

}
