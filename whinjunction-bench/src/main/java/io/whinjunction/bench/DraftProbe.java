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
 * One caller of a streamed draft: checks each token against the model and times it. Safe
 * for all threads.
 */
final class DraftProbe {

	private static final String DATA = "data: ";

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	/**
	 * Sends a draft and reads it to its end.
	 * @param address the entry, {@code HOST:PORT}
	 * @param key the team's key
	 * @param prompt the prompt
	 * @param layers the model's layers
	 * @param count how many tokens
	 * @return what the caller saw
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
		Reading reading = new Reading(startNs);
		try {
			HttpResponse<Stream<String>> response = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
			reading.status = response.statusCode();
			reading.outcome = response.headers().firstValue("whin-outcome").orElse("none");
			reading.requestId = response.headers().firstValue("whin-request-id").orElse("");
			reading.retryAfter = response.headers().firstValue("retry-after").isPresent();
			Iterator<String> lines = response.body().iterator();
			while (lines.hasNext()) {
				reading.line(lines.next());
			}
		}
		catch (IOException | UncheckedIOException ex) {
			reading.cut = true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			reading.cut = true;
		}
		return reading.seen(ReferenceModel.draft(prompt, layers, count));
	}

	/**
	 * What a caller saw.
	 *
	 * @param status the HTTP status; 0 where there was no answer
	 * @param outcome the last outcome told
	 * @param requestId the request id
	 * @param retryAfter whether a refusal said when to come back
	 * @param complete whether the proper end came
	 * @param correct whether every token was the model's own
	 * @param tokens how many came
	 * @param firstTokenMs from sending to the first token
	 * @param maxGapMs the longest time between two tokens
	 * @param totalMs from sending to the end
	 */
	record Result(int status, String outcome, String requestId, boolean retryAfter, boolean complete, boolean correct,
			int tokens, double firstTokenMs, double maxGapMs, double totalMs) {
	}

	private static final class Reading {

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

		private boolean cut;

		Reading(long startNs) {
			this.startNs = startNs;
		}

		void line(String line) {
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
				time();
				this.tokens.add(token);
			}
		}

		private void time() {
			long nowNs = System.nanoTime();
			if (this.tokens.isEmpty()) {
				this.firstTokenMs = (nowNs - this.startNs) / 1e6;
			}
			else {
				this.maxGapNs = Math.max(this.maxGapNs, nowNs - this.lastNs);
			}
			this.lastNs = nowNs;
		}

		Result seen(List<String> expected) {
			boolean right = this.tokens.size() <= expected.size()
					&& this.tokens.equals(expected.subList(0, this.tokens.size()));
			boolean whole = this.done && !this.cut && this.tokens.size() == expected.size();
			return new Result(this.status, this.outcome, this.requestId, this.retryAfter, whole, right,
					this.tokens.size(), this.firstTokenMs, this.maxGapNs / 1e6,
					(System.nanoTime() - this.startNs) / 1e6);
		}

	}

}
