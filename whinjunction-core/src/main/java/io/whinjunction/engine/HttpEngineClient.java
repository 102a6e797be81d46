package io.whinjunction.engine;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.http.Call;
import io.whinjunction.http.CallResult;
import io.whinjunction.http.HttpCaller;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Engine client that uses JSON over HTTP. Thread-safe.
 */
public final class HttpEngineClient implements EngineClient {

	private static final long CONTROL_TIMEOUT_MS = 500;

	private final HttpCaller caller;

	private final AnswerListener listener;

	/**
	 * Creates a client.
	 * @param caller makes the calls
	 * @param listener receives the head of each answer
	 */
	public HttpEngineClient(HttpCaller caller, AnswerListener listener) {
		this.caller = caller;
		this.listener = listener;
	}

	@Override
	public StepResult step(String address, Step step, long timeoutMs) {
		CallResult result = call(Call.json("POST", address, "/steps", encode(step), timeoutMs));
		return switch (result) {
			case CallResult.Response response when response.status() == 200 -> decode(response);
			case CallResult.Response response when response.status() < 500 -> new StepResult.Refused(response.text());
			case CallResult.Response response -> new StepResult.Failed("status " + response.status(), false);
			case CallResult.NotSent notSent -> new StepResult.NotSent(notSent.reason());
			case CallResult.Lost lost -> new StepResult.Failed(lost.reason(), lost.silent());
		};
	}

	@Override
	public void cancel(String address, String stream) {
		call(Call.json("DELETE", address, "/streams/" + stream, "", CONTROL_TIMEOUT_MS));
	}

	@Override
	public EngineReport report(String address) {
		CallResult result = call(Call.fetch(address, "/report", CONTROL_TIMEOUT_MS));
		if (!(result instanceof CallResult.Response response) || response.status() != 200) {
			return null;
		}
		try {
			JsonNode node = Json.MAPPER.readTree(response.body());
			return new EngineReport(node.path("service").asString(""), range(node.path("range").asString("")),
					node.path("generation").asLong(0), node.path("fencing").asLong(0), node.path("running").asInt(0),
					node.path("tokens-per-second").asDouble(0), node.path("leaving").asBoolean(false),
					node.path("loading").asBoolean(false));
		}
		catch (JacksonException ex) {
			return null;
		}
	}

	@Override
	public boolean order(String address, LoadOrder order) {
		ObjectNode node = Json.object();
		node.put("service", order.service());
		node.put("range", order.range().toString());
		node.put("generation", order.generation());
		node.put("fencing", order.fencing());
		CallResult result = call(Call.json("POST", address, "/orders", node.toString(), CONTROL_TIMEOUT_MS));
		return result instanceof CallResult.Response response && response.status() == 200;
	}

	private CallResult call(Call call) {
		CallResult result = this.caller.call(call);
		if (result instanceof CallResult.Response response) {
			this.listener.answered(call.address(), response.status(), response.notice());
		}
		return result;
	}

	private static String encode(Step step) {
		ObjectNode node = Json.object();
		node.put("stream", step.stream());
		node.put("attempt", step.attempt());
		node.put("position", step.position());
		node.put("range", step.range().toString());
		node.put("generation", step.generation());
		node.put("priority", step.priority());
		ArrayNode inputs = node.putArray("inputs");
		step.inputs().forEach(inputs::add);
		return node.toString();
	}

	private static StepResult decode(CallResult.Response response) {
		try {
			JsonNode node = Json.MAPPER.readTree(response.body());
			List<String> outputs = new ArrayList<>();
			node.path("outputs").forEach((output) -> outputs.add(output.asString("")));
			return new StepResult.Done(node.path("stream").asString(""), node.path("attempt").asInt(-1),
					node.path("position").asInt(-1), range(node.path("range").asString("")),
					node.path("generation").asLong(-1), outputs);
		}
		catch (JacksonException ex) {
			return new StepResult.Failed("unreadable answer", false);
		}
	}

	private static LayerRange range(String text) {
		return text.isEmpty() ? null : LayerRange.parse(text);
	}

}
