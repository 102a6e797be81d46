package standins;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads HTTP/1.1 messages from a blocking stream. Stateless.
 */
public final class Http {

	private Http() {
	}

	/** The first line and the headers of a message. */
	public record Head(String first, Map<String, String> headers) {

		public String header(String name) {
			return this.headers.get(name);
		}

		public String method() {
			return this.first.split(" ")[0];
		}

		public String target() {
			return this.first.split(" ")[1];
		}

		public int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		public boolean closes() {
			return "close".equalsIgnoreCase(header("Connection"));
		}

	}

	/** Returns the head of the next message, or {@code null} at the end of the stream. */
	public static Head readHead(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		return new Head(first, headers);
	}

	/** Reads a complete body; throws {@link EOFException} if it is cut short. */
	public static byte[] readBody(InputStream in, Head head, boolean response) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
			for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
				body.write(chunk);
			}
		}
		else if (head.header("Content-Length") != null) {
			body.write(readExactly(in, Integer.parseInt(head.header("Content-Length"))));
		}
		else if (response) {
			in.transferTo(body);
		}
		return body.toByteArray();
	}

	/** Reads one chunk; an empty one ends the body. */
	public static byte[] readChunk(InputStream in) throws IOException {
		byte[] chunk = readExactly(in, readChunkSize(in));
		readLineEnd(in);
		return chunk;
	}

	/** Reads the size line of a chunk. */
	public static int readChunkSize(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("no chunk");
		}
		return Integer.parseInt(line.trim(), 16);
	}

	/** Reads the line end after the data of a chunk. */
	public static void readLineEnd(InputStream in) throws IOException {
		readLine(in);
	}

	private static byte[] readExactly(InputStream in, int count) throws IOException {
		byte[] bytes = in.readNBytes(count);
		if (bytes.length < count) {
			throw new EOFException("the body is cut short");
		}
		return bytes;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

}
