package io.whinjunction.peer;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.whinjunction.protocol.generated.Peer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * Serves the calls of other entries, each on a virtual thread. Thread-safe.
 */
public final class PeerServer implements AutoCloseable {

	private final TThreadPoolServer server;

	private final ExecutorService executor;

	private PeerServer(TThreadPoolServer server, ExecutorService executor) {
		this.server = server;
		this.executor = executor;
	}

	/**
	 * Starts a server.
	 * @param transport opens the listening socket
	 * @param host the address to bind
	 * @param port the port
	 * @param node handles the calls
	 * @return the running server
	 * @throws IllegalStateException if the port cannot be bound
	 */
	public static PeerServer start(PeerTransport transport, String host, int port, Peer.Iface node) {
		try {
			TServerSocket socket = transport.listen(host, port);
			ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
			TThreadPoolServer server = new TThreadPoolServer(
					new TThreadPoolServer.Args(socket).processor(new Peer.Processor<>(node))
						.executorService(executor)
						.protocolFactory(new TBinaryProtocol.Factory())
						.transportFactory(new TFramedTransport.Factory()));
			Thread.ofPlatform().daemon().name("whin-peer").start(server::serve);
			return new PeerServer(server, executor);
		}
		catch (TException | IOException ex) {
			throw new IllegalStateException("cannot listen on " + host + ":" + port, ex);
		}
	}

	@Override
	public void close() {
		this.server.stop();
		this.executor.shutdownNow();
	}

}
