import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One channel of a requester. */
final class Client2 implements AutoCloseable {

	private final Socket socket = new Socket();

	private final InputStream in;

	private final OutputStream out;

	Client2(String ip, int port, int timeoutMs) throws IOException {
		this.socket.setTcpNoDelay(true);
		this.socket.connect(new InetSocketAddress(ip, port), 1000);
		this.socket.setSoTimeout(timeoutMs);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.out = this.socket.getOutputStream();
	}

	void send(String head, byte[] body) throws IOException {
		byte[] first = Http2.bytes(head);
		byte[] all = java.util.Arrays.copyOf(first, first.length + body.length);
		System.arraycopy(body, 0, all, first.length, body.length);
		this.out.write(all);
		this.out.flush();
	}

	OutputStream out() {
		return this.out;
	}

	InputStream in() {
		return this.in;
	}

	Http2.Message answer() throws IOException {
		Http2.Message answer = Http2.read(this.in, true);
		if (answer == null) {
			throw new java.io.EOFException("the channel ended without an answer");
		}
		return answer;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
