package io.whinjunction.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

import io.whinjunction.configuration.Json;
import io.whinjunction.standins.ReferenceModel;
import tools.jackson.databind.JsonNode;

/**
 * Client that sends streamed drafts, checks each token against the reference model and
 * measures its arrival time. Thread-safe.
 */
final class DraftProbe {

	private static final String DATA = "data: ";

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	/**
	 * Sends a draft and reads the response to its end.
	 * @param address the address of the entry, {@code HOST:PORT}
	 * @param key the key of the team
	 * @param prompt the prompt
	 * @param layers the number of layers of the model
	 * @param count the number of tokens
	 * @return the result as seen by the caller
	 */
	Result draft(String address, String key, String prompt, int layers, int count) {
		long startNs = System.nanoTime();
		String body = Json.object()
			.put("model", "whin-llm")
			.put("prompt", prompt)
			.put("max_tokens", count)
			.put("stream", true)
			.toString();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
			.header("authorization", "Bearer " + key)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		ResponseCollector collector = new ResponseCollector(startNs);
		try {
			HttpResponse<Stream<String>> response = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
			collector.status = response.statusCode();
			collector.outcome = response.headers().firstValue("whin-outcome").orElse("none");
			collector.requestId = response.headers().firstValue("whin-request-id").orElse("");
			collector.retryAfter = response.headers().firstValue("retry-after").isPresent();
			Iterator<String> lines = response.body().iterator();
			while (lines.hasNext()) {
				collector.addLine(lines.next());
			}
		}
		catch (IOException | UncheckedIOException ex) {
			collector.disconnected = true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			collector.disconnected = true;
		}
		return collector.result(ReferenceModel.draft(prompt, layers, count));
	}

	/**
	 * Result of a draft as seen by its caller. Immutable.
	 *
	 * @param status the HTTP status, or 0 if there was no response
	 * @param outcome the last reported outcome
	 * @param requestId the request id
	 * @param retryAfter whether the response has a {@code Retry-After} header
	 * @param complete whether all tokens and the end marker arrived
	 * @param correct whether every received token is that of the reference model
	 * @param tokens the number of received tokens
	 * @param firstTokenMs the time from the request to the first token, or -1 without one
	 * @param maxGapMs the longest time between two tokens
	 * @param totalMs the time from the request to the end
	 */
	record Result(int status, String outcome, String requestId, boolean retryAfter, boolean complete, boolean correct,
			int tokens, double firstTokenMs, double maxGapMs, double totalMs) {
	}

	private static final class ResponseCollector {

		private final long startNs;

		private final List<String> tokens = new ArrayList<>();

		private long lastNs;

		private long maxGapNs;

		private double firstTokenMs = -1;

		private int status;

		private String outcome = "none";

		private String requestId = "";

		private boolean retryAfter;

		private boolean done;

		private boolean disconnected;

		ResponseCollector(long startNs) {
			this.startNs = startNs;
		}

		void addLine(String line) {
			if (!line.startsWith(DATA)) {
				return;
			}
			String data = line.substring(DATA.length());
			if (data.equals("[DONE]")) {
				this.done = true;
				return;
			}
			JsonNode node = Json.MAPPER.readTree(data);
			if (node.has("whin-outcome")) {
				this.outcome = node.get("whin-outcome").asString("");
				return;
			}
			String token = node.path("choices").path(0).path("text").asString("");
			if (!token.isEmpty()) {
				recordTime();
				this.tokens.add(token);
			}
		}

		private void recordTime() {
			long nowNs = System.nanoTime();
			if (this.tokens.isEmpty()) {
				this.firstTokenMs = (nowNs - this.startNs) / 1e6;
			}
			else {
				this.maxGapNs = Math.max(this.maxGapNs, nowNs - this.lastNs);
			}
			this.lastNs = nowNs;
		}

		Result result(List<String> expected) {
			boolean correct = this.tokens.size() <= expected.size()
					&& this.tokens.equals(expected.subList(0, this.tokens.size()));
			boolean complete = this.done && !this.disconnected && this.tokens.size() == expected.size();
			return new Result(this.status, this.outcome, this.requestId, this.retryAfter, complete, correct,
					this.tokens.size(), this.firstTokenMs, this.maxGapNs / 1e6,
					(System.nanoTime() - this.startNs) / 1e6);
		}

	}

}
