package io.whinjunction.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.Json;
import io.whinjunction.http.Call;
import io.whinjunction.http.CallResult;
import io.whinjunction.http.HttpCaller;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;

/**
 * Client of the object API over HTTP: {@code GET}, {@code PUT} and {@code DELETE} with
 * {@code if-match}, and a long-polling watch. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {

	private static final String OBJECTS = "/objects/";

	private final HttpCaller caller;

	private final String address;

	private final long timeoutMs;

	public HttpObjectStore(HttpCaller caller, String address, long timeoutMs) {
		this.caller = caller;
		this.address = address;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public Read read(String key) {
		return toRead(this.caller.call(Call.fetch(this.address, OBJECTS + encode(key), this.timeoutMs)));
	}

	@Override
	public Write write(String key, String value, long expectedVersion) {
		return toWrite(this.caller.call(Call.json("PUT", this.address, OBJECTS + encode(key), value, this.timeoutMs)
			.with("if-match", Long.toString(expectedVersion))));
	}

	@Override
	public Write remove(String key, long expectedVersion) {
		return toWrite(this.caller.call(Call.json("DELETE", this.address, OBJECTS + encode(key), "", this.timeoutMs)
			.with("if-match", Long.toString(expectedVersion))));
	}

	@Override
	public Listing list(String prefix) {
		CallResult result = this.caller
			.call(Call.fetch(this.address, "/objects?prefix=" + encode(prefix), this.timeoutMs));
		if (!(result instanceof CallResult.Response response) || response.status() != 200) {
			return new Listing.Unavailable(describe(result));
		}
		List<StoredObject> objects = new ArrayList<>();
		for (JsonNode node : parse(response)) {
			objects.add(new StoredObject(node.path("key").asString(""), node.path("version").asLong(0),
					node.path("value").asString("")));
		}
		return new Listing.Objects(objects);
	}

	@Override
	public Read watch(String key, long afterVersion, long timeoutMs) {
		String path = "/watch/" + encode(key) + "?after=" + afterVersion + "&timeout-ms=" + timeoutMs;
		return toRead(this.caller.call(Call.fetch(this.address, path, timeoutMs + this.timeoutMs)));
	}

	@Override
	public Instances instances() {
		CallResult result = this.caller.call(Call.fetch(this.address, "/instances", this.timeoutMs));
		if (!(result instanceof CallResult.Response response) || response.status() != 200) {
			return new Instances.Unavailable(describe(result));
		}
		List<Instance> instances = new ArrayList<>();
		for (JsonNode node : parse(response)) {
			instances.add(new Instance(node.path("id").asString(""), node.path("service").asString(""),
					node.path("address").asString(""), node.path("failure-domain").asString(""),
					node.path("accelerator-kind").asString(""), node.path("leaving").asBoolean(false)));
		}
		return new Instances.Listed(instances);
	}

	private static Read toRead(CallResult result) {
		if (result instanceof CallResult.Response response) {
			if (response.status() == 200) {
				return new Read.Found(version(response), response.text());
			}
			if (response.status() == 404 || response.status() == 304) {
				return new Read.Absent();
			}
		}
		return new Read.Unavailable(describe(result));
	}

	private static Write toWrite(CallResult result) {
		if (result instanceof CallResult.Response response) {
			if (response.status() == 200) {
				return new Write.Written(version(response));
			}
			if (response.status() == 412) {
				return new Write.Conflict();
			}
		}
		return new Write.Uncertain(describe(result));
	}

	private static long version(CallResult.Response response) {
		return response.headers()
			.stream()
			.filter((header) -> header.getKey().equalsIgnoreCase("etag"))
			.mapToLong((header) -> Long.parseLong(header.getValue()))
			.findFirst()
			.orElse(ABSENT);
	}

	private static JsonNode parse(CallResult.Response response) {
		try {
			return Json.MAPPER.readTree(response.body());
		}
		catch (JacksonException ex) {
			return Json.object();
		}
	}

	private static String describe(CallResult result) {
		return switch (result) {
			case CallResult.Response response -> "status " + response.status();
			case CallResult.NotSent notSent -> notSent.reason();
			case CallResult.Lost lost -> lost.reason();
		};
	}

	private static String encode(String key) {
		return URLEncoder.encode(key, StandardCharsets.UTF_8);
	}

}
