package io.whinjunction.standins;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.whinjunction.configuration.Json;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.Reply;
import io.whinjunction.http.server.Request;
import io.whinjunction.platform.ObjectStore.Instance;
import io.whinjunction.platform.ObjectStore.Instances;
import io.whinjunction.platform.ObjectStore.Listing;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.platform.ObjectStore.StoredObject;
import io.whinjunction.platform.ObjectStore.Write;
import io.whinjunction.standins.FakeObjectStore.Fault;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Serves a {@link FakeObjectStore} over HTTP. Thread-safe.
 */
public final class PlatformServer implements Handler {

	private static final long SLOW_CALL_DELAY_MS = 1000;

	private final FakeObjectStore store;

	public PlatformServer(FakeObjectStore store) {
		this.store = store;
	}

	@Override
	public void handle(Exchange exchange) throws Exception {
		Request request = exchange.request();
		String path = request.path();
		if (path.startsWith("/faults/")) {
			this.store.fault(Fault.valueOf(path.substring(8).toUpperCase(Locale.ROOT).replace('-', '_')));
			exchange.reply(Reply.json(200, "{}"));
			return;
		}
		if (path.startsWith("/register")) {
			exchange.reply(register(request));
			return;
		}
		if (this.store.fault() == Fault.SLOW) {
			Thread.sleep(SLOW_CALL_DELAY_MS);
		}
		if (path.startsWith("/objects/")) {
			exchange.reply(object(request, decode(path.substring(9))));
		}
		else if (path.equals("/objects")) {
			exchange.reply(list(decode(request.parameter("prefix").orElse(""))));
		}
		else if (path.startsWith("/watch/")) {
			exchange.reply(readReply(
					this.store.watch(decode(path.substring(7)), Long.parseLong(request.parameter("after").orElse("0")),
							Long.parseLong(request.parameter("timeout-ms").orElse("1000")))));
		}
		else if (path.equals("/instances")) {
			exchange.reply(instances());
		}
		else {
			exchange.reply(Reply.json(404, "{}"));
		}
	}

	private Reply register(Request request) {
		if (request.method().equals("DELETE")) {
			this.store.removeInstance(request.parameter("id").orElse(""));
			return Reply.json(200, "{}");
		}
		JsonNode node = Json.MAPPER.readTree(request.body());
		this.store.putInstance(new Instance(node.path("id").asString(""), node.path("service").asString(""),
				node.path("address").asString(""), node.path("failure-domain").asString(""),
				node.path("accelerator-kind").asString(""), node.path("leaving").asBoolean(false)));
		return Reply.json(200, "{}");
	}

	private Reply object(Request request, String key) {
		long expected = Long.parseLong(request.header("if-match").orElse("0"));
		return switch (request.method()) {
			case "GET" -> readReply(this.store.read(key));
			case "PUT" -> writeReply(this.store.write(key, request.text(), expected));
			case "DELETE" -> writeReply(this.store.remove(key, expected));
			default -> Reply.json(405, "{}");
		};
	}

	private Reply list(String prefix) {
		if (!(this.store.list(prefix) instanceof Listing.Objects found)) {
			return Reply.json(503, "{}");
		}
		ArrayNode array = Json.MAPPER.createArrayNode();
		for (StoredObject object : found.objects()) {
			ObjectNode node = array.addObject();
			node.put("key", object.key());
			node.put("version", object.version());
			node.put("value", object.value());
		}
		return Reply.json(200, array.toString());
	}

	private Reply instances() {
		if (!(this.store.instances() instanceof Instances.Listed listed)) {
			return Reply.json(503, "{}");
		}
		ArrayNode array = Json.MAPPER.createArrayNode();
		for (Instance instance : listed.instances()) {
			ObjectNode node = array.addObject();
			node.put("id", instance.id());
			node.put("service", instance.service());
			node.put("address", instance.address());
			node.put("failure-domain", instance.failureDomain());
			node.put("accelerator-kind", instance.acceleratorKind());
			node.put("leaving", instance.leaving());
		}
		return Reply.json(200, array.toString());
	}

	private static Reply readReply(Read read) {
		return switch (read) {
			case Read.Found found -> Reply.json(200, found.value()).with("etag", Long.toString(found.version()));
			case Read.Absent ignored -> Reply.json(404, "{}");
			case Read.Unavailable ignored -> Reply.json(503, "{}");
		};
	}

	private static Reply writeReply(Write write) {
		return switch (write) {
			case Write.Written written -> Reply.json(200, "{}").with("etag", Long.toString(written.version()));
			case Write.Conflict ignored -> Reply.json(412, "{}");
			case Write.Uncertain ignored -> Reply.json(503, "{}");
		};
	}

	private static String decode(String text) {
		return URLDecoder.decode(text, StandardCharsets.UTF_8);
	}

}
