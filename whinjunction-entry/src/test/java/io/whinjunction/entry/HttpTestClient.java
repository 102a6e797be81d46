package io.whinjunction.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.whinjunction.configuration.Json;
import tools.jackson.databind.node.ObjectNode;

/**
 * HTTP client for tests. Uses the client of the JDK, or a plain socket where the exact
 * bytes matter.
 */
final class HttpTestClient {

	private static final Pattern TOKEN = Pattern.compile("\"text\":\"([^\"]*)\"");

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private HttpTestClient() {
	}

	static Response get(int port, String path, String... headers) {
		return send(HttpRequest.newBuilder(uri(port, path)).GET(), headers);
	}

	static Response post(int port, String path, String body, String... headers) {
		return send(HttpRequest.newBuilder(uri(port, path)).POST(HttpRequest.BodyPublishers.ofString(body)), headers);
	}

	static Response draft(int port, String key, String prompt, int tokens, boolean stream) {
		return post(port, "/v1/completions", draftBody(prompt, tokens, stream), "authorization", "Bearer " + key);
	}

	static Response book(int port, String key, String idempotencyKey, String slot) {
		return post(port, "/services/booking-api/bookings", slot, "authorization", "Bearer " + key, "idempotency-key",
				idempotencyKey);
	}

	static String draftBody(String prompt, int tokens, boolean stream) {
		ObjectNode node = Json.object();
		node.put("model", "whin-llm").put("prompt", prompt).put("max_tokens", tokens).put("stream", stream);
		return node.toString();
	}

	/**
	 * Sends bytes and reads until the server closes the connection.
	 * @param port the port
	 * @param text the bytes, one per character
	 * @return the received bytes, one character per byte
	 */
	static String raw(int port, String text) {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
			socket.setSoTimeout(20_000);
			socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static List<String> tokens(String body) {
		List<String> tokens = new ArrayList<>();
		Matcher matcher = TOKEN.matcher(body);
		while (matcher.find()) {
			if (!matcher.group(1).isEmpty()) {
				tokens.add(matcher.group(1));
			}
		}
		return tokens;
	}

	private static Response send(HttpRequest.Builder request, String... headers) {
		for (int i = 0; i < headers.length; i += 2) {
			request.header(headers[i], headers[i + 1]);
		}
		try {
			HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
			return new Response(response.statusCode(), response.headers().map(), response.body());
		}
		catch (IOException ex) {
			return new Response(0, Map.of(), String.valueOf(ex));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static URI uri(int port, String path) {
		return URI.create("http://127.0.0.1:" + port + path);
	}

	/**
	 * A response; its status is 0 if the connection broke.
	 *
	 * @param status the status
	 * @param headers the headers
	 * @param body the body, or the reason why it is missing
	 */
	record Response(int status, Map<String, List<String>> headers, String body) {

		Optional<String> header(String name) {
			return Optional.ofNullable(this.headers.get(name)).map((values) -> values.get(0));
		}

		String outcome() {
			return header("whin-outcome").orElse("none");
		}

	}

}
