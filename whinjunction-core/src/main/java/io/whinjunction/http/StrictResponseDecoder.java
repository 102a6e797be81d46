package io.whinjunction.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * Decodes responses whose heads follow the grammar of HTTP/1.1 and rejects all others.
 * The HTTP library's decoder accepts any number as a status, any white space between the
 * words of a status line, and white space within the name of a field, the rest of which
 * it drops.
 * <p>
 * Accepted are {@code HTTP/1.0} and {@code HTTP/1.1}, a status of three digits from 100
 * to 599, one blank after each of them, and a reason phrase without control bytes, which
 * may be missing together with its blank; the names of fields, also of those after a
 * body, are tokens directly followed by a colon. A response that is rejected has a failed
 * decoder result. One per connection; confined to its event loop.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

	private static final int STATUS_DIGITS = 3;

	private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

	private boolean bodyless;

	/** Whether the next byte begins a head. */
	private boolean betweenMessages = true;

	/** What is wrong with the status line; {@code null} if nothing is. */
	private String problem;

	/** Where the word of the status line that was read last ends. */
	private int wordEnd;

	/**
	 * Creates a decoder.
	 * @param config its limits
	 */
	public StrictResponseDecoder(HttpDecoderConfig config) {
		super(config);
	}

	/**
	 * Prepares for the response to a request.
	 * @param bodylessRequest whether the method of the request rules out a body
	 */
	public void expect(boolean bodylessRequest) {
		this.bodyless = bodylessRequest;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean interim = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (this.bodyless && !interim) || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		if (this.betweenMessages && in.isReadable()) {
			this.betweenMessages = false;
			// The library's decoder skips white space and control bytes before a head.
			this.problem = (in.getByte(in.readerIndex()) == 'H') ? null : "bytes before the status line";
		}
		super.decode(context, in, out);
		if (!out.isEmpty() && out.getLast() instanceof LastHttpContent) {
			this.betweenMessages = true;
		}
	}

	@Override
	protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
		String word = super.splitFirstWordInitialLine(line, start, length);
		if (!word.equals("HTTP/1.1") && !word.equals("HTTP/1.0")) {
			reject("protocol version \"" + word + "\" is not HTTP/1.0 or HTTP/1.1");
		}
		this.wordEnd = start + length;
		return word;
	}

	@Override
	protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
		String word = super.splitSecondWordInitialLine(line, start, length);
		checkBlank(line, start);
		boolean valid = length == STATUS_DIGITS && word.chars().allMatch((digit) -> digit >= '0' && digit <= '9')
				&& word.charAt(0) >= '1' && word.charAt(0) <= '5';
		if (!valid) {
			reject("status \"" + word + "\" is not a number from 100 to 599");
		}
		this.wordEnd = start + length;
		return word;
	}

	@Override
	protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
		checkBlank(line, start);
		for (int index = start; index < start + length; index++) {
			if (isControl(line[index])) {
				reject("the reason phrase contains the control byte " + line[index]);
			}
		}
		return super.splitThirdWordInitialLine(line, start, length);
	}

	private void checkBlank(byte[] line, int start) {
		if (start != this.wordEnd + 1 || line[this.wordEnd] != ' ') {
			reject("the words of the status line are not separated by one blank each");
		}
	}

	private void reject(String reason) {
		if (this.problem == null) {
			this.problem = reason;
		}
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (this.problem != null) {
			throw new IllegalArgumentException(this.problem);
		}
		return super.createMessage(initialLine);
	}

	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		AsciiString name = super.splitHeaderName(line, start, length);
		if (length == 0 || line[start + length] != ':') {
			throw new IllegalArgumentException("the field name \"" + name + "\" is not directly followed by a colon");
		}
		for (int index = start; index < start + length; index++) {
			if (!isTokenByte(line[index])) {
				throw new IllegalArgumentException("the field name contains the byte " + line[index]);
			}
		}
		return name;
	}

	/**
	 * Returns whether a byte is a control byte that may not be part of a head.
	 * @param octet the byte
	 * @return {@code false} for a tab
	 */
	static boolean isControl(int octet) {
		return (octet >= 0 && octet < ' ' && octet != '\t') || octet == '\u007f';
	}

	private static boolean isTokenByte(byte octet) {
		return octet >= '0' && octet <= '9' || octet >= 'a' && octet <= 'z' || octet >= 'A' && octet <= 'Z'
				|| octet > 0 && TOKEN_MARKS.indexOf(octet) >= 0;
	}

}
