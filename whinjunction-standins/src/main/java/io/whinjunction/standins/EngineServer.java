package io.whinjunction.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;

import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.engine.EngineClient.EngineReport;
import io.whinjunction.engine.EngineClient.LoadOrder;
import io.whinjunction.engine.EngineClient.Step;
import io.whinjunction.engine.EngineClient.StepResult;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.Reply;
import io.whinjunction.http.server.Request;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Serves a {@link FakeEngine} over HTTP at a set rate, with a delayed load report.
 * Thread-safe.
 */
public final class EngineServer implements Handler {

	private static final int BATCH_SIZE = 8;

	private final FakeEngine engine;

	private final long stepMs;

	private final long reportLagMs;

	/** Models continuous batching: further steps queue while a batch is full. */
	private final Semaphore batch = new Semaphore(BATCH_SIZE, true);

	private EngineReport delayedReport;

	private long delayedReportAtMs;

	/**
	 * Creates a server.
	 * @param engine the engine
	 * @param stepMs the duration of a step, in milliseconds
	 * @param reportLagMs the maximum age of the reported load, in milliseconds
	 */
	public EngineServer(FakeEngine engine, long stepMs, long reportLagMs) {
		this.engine = engine;
		this.stepMs = stepMs;
		this.reportLagMs = reportLagMs;
		this.delayedReport = engine.report();
	}

	@Override
	public void handle(Exchange exchange) throws Exception {
		Request request = exchange.request();
		String route = request.method() + " " + request.path();
		if (route.equals("POST /steps")) {
			exchange.reply(step(Json.MAPPER.readTree(request.body())));
		}
		else if (route.equals("GET /report")) {
			exchange.reply(Reply.json(200, encode(report())));
		}
		else if (route.equals("POST /orders")) {
			exchange.reply(order(Json.MAPPER.readTree(request.body())));
		}
		else if (route.startsWith("DELETE /streams/")) {
			this.engine.cancel(request.path().substring("/streams/".length()));
			exchange.reply(Reply.json(200, "{}"));
		}
		else if (route.equals("POST /faults/leave")) {
			this.engine.leave();
			exchange.reply(Reply.json(200, "{}"));
		}
		else if (route.equals("POST /faults/upgrade")) {
			this.engine.upgrade();
			exchange.reply(Reply.json(200, "{}"));
		}
		else if (route.equals("GET /faults/streams")) {
			exchange.reply(Reply.json(200, Integer.toString(this.engine.openStreams())));
		}
		else {
			exchange.reply(Reply.json(404, "{}"));
		}
	}

	private Reply step(JsonNode node) throws InterruptedException {
		List<String> inputs = new ArrayList<>();
		node.path("inputs").forEach((input) -> inputs.add(input.asString("")));
		Step step = new Step(node.path("stream").asString(""), node.path("attempt").asInt(-1),
				node.path("position").asInt(-1), LayerRange.parse(node.path("range").asString("")),
				node.path("generation").asLong(-1), inputs, node.path("priority").asInt(0));
		this.batch.acquire();
		try {
			if (this.stepMs > 0) {
				Thread.sleep(this.stepMs);
			}
			return switch (this.engine.step(step)) {
				case StepResult.Done done -> Reply.json(200, encode(done));
				case StepResult.Refused refused -> Reply.text(409, refused.reason());
				case StepResult.Failed failed -> Reply.text(500, failed.reason());
				case StepResult.NotSent notSent -> Reply.text(500, notSent.reason());
			};
		}
		finally {
			this.batch.release();
		}
	}

	private Reply order(JsonNode node) {
		boolean accepted = this.engine
			.order(new LoadOrder(node.path("service").asString(""), LayerRange.parse(node.path("range").asString("")),
					node.path("generation").asLong(0), node.path("fencing").asLong(0)));
		return accepted ? Reply.json(200, "{}") : Reply.text(409, "the fencing number is old");
	}

	private synchronized EngineReport report() {
		long nowMs = System.nanoTime() / 1_000_000;
		EngineReport current = this.engine.report();
		if (nowMs - this.delayedReportAtMs >= this.reportLagMs) {
			this.delayedReport = current;
			this.delayedReportAtMs = nowMs;
		}
		// Only the load is delayed; layers and generation are the engine's current state.
		return new EngineReport(current.service(), current.range(), current.generation(), current.fencing(),
				this.delayedReport.running(), current.tokensPerSecond(), current.leaving(), current.loading());
	}

	private static String encode(EngineReport report) {
		ObjectNode node = Json.object();
		node.put("service", report.service());
		node.put("range", (report.range() != null) ? report.range().toString() : "");
		node.put("generation", report.generation());
		node.put("fencing", report.fencing());
		node.put("running", report.running());
		node.put("tokens-per-second", report.tokensPerSecond());
		node.put("leaving", report.leaving());
		node.put("loading", report.loading());
		return node.toString();
	}

	private static String encode(StepResult.Done done) {
		ObjectNode node = Json.object();
		node.put("stream", done.stream());
		node.put("attempt", done.attempt());
		node.put("position", done.position());
		node.put("range", done.range().toString());
		node.put("generation", done.generation());
		ArrayNode outputs = node.putArray("outputs");
		done.outputs().forEach(outputs::add);
		return node.toString();
	}

}
