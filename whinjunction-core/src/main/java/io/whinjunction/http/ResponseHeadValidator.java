package io.whinjunction.http;

import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Checks whether the head of a response is that of one response.
 * <p>
 * Guards against an upstream that sends a part of another response before the expected
 * one: the bytes of both are then read as one head, with the status of the first and the
 * remaining fields of the second. A head that contains a status line after its first
 * bytes, or gives a field twice that decides where the body ends or which request is
 * answered, is rejected. Stateless.
 */
public final class ResponseHeadValidator {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d+\\.\\d+[ \t]+\\d{3}([ \t]|$)",
			Pattern.CASE_INSENSITIVE);

	private ResponseHeadValidator() {
	}

	/**
	 * Validates a part of a response: its head, and the fields after a chunked body.
	 * @param part the part as decoded by the HTTP library
	 * @param singleHeaders the names of headers that may be given once at most, besides
	 * those of the framing
	 * @return the problem, or empty if the part is valid
	 */
	public static Optional<String> problem(HttpObject part, Collection<String> singleHeaders) {
		if (part.decoderResult().isFailure()) {
			return Optional.of(String.valueOf(part.decoderResult().cause().getMessage()));
		}
		if (part instanceof HttpResponse head) {
			return problemOfHead(head, singleHeaders);
		}
		return (part instanceof LastHttpContent end) ? problemOfFields(end.trailingHeaders()) : Optional.empty();
	}

	private static Optional<String> problemOfHead(HttpResponse head, Collection<String> singleHeaders) {
		if (HttpResponseStatus.SWITCHING_PROTOCOLS.equals(head.status())) {
			return Optional.of("status 101 without a request for another protocol");
		}
		if (containsStatusLine(head.status().reasonPhrase())) {
			return Optional.of("the reason phrase contains a status line");
		}
		return problemOfFields(head.headers()).or(() -> problemOfFraming(head.headers()))
			.or(() -> singleHeaders.stream()
				.filter((name) -> head.headers().getAll(name).size() > 1)
				.findFirst()
				.map((name) -> "more than one " + name));
	}

	private static Optional<String> problemOfFields(HttpHeaders fields) {
		for (Iterator<Map.Entry<String, String>> all = fields.iteratorAsString(); all.hasNext();) {
			Map.Entry<String, String> field = all.next();
			if (containsStatusLine(field.getValue())) {
				return Optional.of("the value of " + field.getKey() + " contains a status line");
			}
			if (field.getValue().chars().anyMatch(StrictResponseDecoder::isControl)) {
				return Optional.of("the value of " + field.getKey() + " contains a control byte");
			}
		}
		return Optional.empty();
	}

	private static Optional<String> problemOfFraming(HttpHeaders headers) {
		List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		int lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
		if (lengths > 1) {
			return Optional.of("more than one content-length");
		}
		if (codings.isEmpty()) {
			return Optional.empty();
		}
		if (lengths > 0) {
			return Optional.of("both content-length and transfer-encoding");
		}
		if (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst())) {
			return Optional.of("transfer-encoding \"" + String.join(", ", codings) + "\" is not chunked");
		}
		return Optional.empty();
	}

	private static boolean containsStatusLine(String text) {
		return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
	}

}
