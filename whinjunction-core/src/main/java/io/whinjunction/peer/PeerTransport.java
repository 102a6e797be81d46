package io.whinjunction.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Supplier;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;

import io.whinjunction.protocol.generated.Peer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * Opens connections between entries, with mutual TLS if it is configured.
 * <p>
 * Every call uses a new connection. This avoids persistent connections that a device
 * between the two ends has dropped silently, on which every call would wait for its
 * timeout although a new connection works. Peer calls are rare, so the handshakes cost
 * little. Thread-safe.
 */
public final class PeerTransport {

	private static final int MAX_FRAME_BYTES = 2 << 20;

	private final Supplier<SSLContext> tls;

	private final int timeoutMs;

	/**
	 * Creates a transport.
	 * @param tls supplies the current TLS context; {@code null} for plain connections
	 * @param timeoutMs the timeout of connecting and of each read, in milliseconds
	 */
	public PeerTransport(Supplier<SSLContext> tls, int timeoutMs) {
		this.tls = tls;
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Makes one call.
	 * @param address the peer, {@code HOST:PORT}
	 * @param call the call
	 * @param <T> the type of the answer
	 * @return the answer
	 * @throws TException if the peer did not answer
	 */
	public <T> T call(String address, PeerCall<T> call) throws TException {
		try (Socket socket = connect(address);
				TTransport transport = new TFramedTransport(new TSocket(socket), MAX_FRAME_BYTES)) {
			return call.run(new Peer.Client(new TBinaryProtocol(transport)));
		}
		catch (IOException ex) {
			throw new TException("cannot reach " + address, ex);
		}
	}

	TServerSocket listen(String host, int port) throws TException, IOException {
		InetAddress address = InetAddress.getByName(host);
		ServerSocket socket;
		if (this.tls != null) {
			SSLServerSocket secure = (SSLServerSocket) this.tls.get()
				.getServerSocketFactory()
				.createServerSocket(port, 0, address);
			secure.setNeedClientAuth(true);
			socket = secure;
		}
		else {
			socket = new ServerSocket();
			socket.setReuseAddress(true);
			socket.bind(new InetSocketAddress(address, port));
		}
		return new TServerSocket(
				new TServerSocket.ServerSocketTransportArgs().serverSocket(socket).clientTimeout(this.timeoutMs));
	}

	private Socket connect(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		Socket socket = (this.tls != null) ? this.tls.get().getSocketFactory().createSocket() : new Socket();
		try {
			socket.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
					this.timeoutMs);
			socket.setSoTimeout(this.timeoutMs);
			socket.setTcpNoDelay(true);
			return socket;
		}
		catch (IOException | RuntimeException ex) {
			socket.close();
			throw ex;
		}
	}

	/**
	 * A call to a peer.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	public interface PeerCall<T> {

		/**
		 * Makes the call.
		 * @param client the client of the peer
		 * @return its answer
		 * @throws TException if it did not answer
		 */
		T run(Peer.Client client) throws TException;

	}

}
