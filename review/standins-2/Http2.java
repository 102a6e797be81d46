import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http2 {

	private Http2() {
	}

	/** A message: its first line, its headers and its body. */
	record Message(String first, List<String[]> headers, byte[] body) {

		String header(String name) {
			for (String[] header : this.headers) {
				if (header[0].equalsIgnoreCase(name)) {
					return header[1];
				}
			}
			return null;
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	/** Reads a head; null if the channel ends before it. The body is empty. */
	static Message head(InputStream in) throws IOException {
		String first = line(in);
		while (first != null && first.isEmpty()) {
			first = line(in);
		}
		if (first == null) {
			return null;
		}
		List<String[]> headers = new ArrayList<>();
		for (String line = line(in); ; line = line(in)) {
			if (line == null) {
				throw new EOFException("the channel ended within a head");
			}
			if (line.isEmpty()) {
				return new Message(first, headers, new byte[0]);
			}
			int colon = line.indexOf(':');
			headers.add(new String[] { line.substring(0, colon).trim(), line.substring(colon + 1).trim() });
		}
	}

	/** Reads a whole message; an answer without a length is read to the channel's end. */
	static Message read(InputStream in, boolean answer) throws IOException {
		Message head = head(in);
		if (head == null) {
			return null;
		}
		String length = head.header("Content-Length");
		String coding = head.header("Transfer-Encoding");
		byte[] body;
		if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
			body = chunks(in);
		}
		else if (length != null) {
			body = in.readNBytes(Integer.parseInt(length));
			if (body.length < Integer.parseInt(length)) {
				throw new EOFException("the channel ended within a body");
			}
		}
		else {
			body = answer ? in.readAllBytes() : new byte[0];
		}
		return new Message(head.first(), head.headers(), body);
	}

	private static byte[] chunks(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String line = line(in);
			if (line == null) {
				throw new EOFException("the channel ended within a chunked body");
			}
			int size = Integer.parseInt(line.split(";")[0].trim(), 16);
			byte[] chunk = in.readNBytes(size);
			if (chunk.length < size) {
				throw new EOFException("the channel ended within a chunk");
			}
			body.writeBytes(chunk);
			String end = line(in);
			if (end == null) {
				throw new EOFException("the channel ended within a chunked body");
			}
			if (size == 0) {
				return body.toByteArray();
			}
		}
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int c = in.read(); c >= 0; c = in.read()) {
			if (c == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(c);
		}
		return null;
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
