package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.whinjunction.configuration.Json;
import tools.jackson.databind.node.ObjectNode;

/**
 * Sends drafts concurrently and prints their results as one line of JSON.
 */
@Command(name = "probe", description = "Sends streamed drafts concurrently, checks every token, prints a line of JSON")
public final class ProbeCommand implements Runnable {

	@Option(name = "--entry", title = "HOST:PORT", description = "Caller port of an entry; repeatable, used in turn")
	private List<String> entries = new ArrayList<>();

	@Option(name = "--key", title = "KEY", description = "The team's key")
	private String key = "";

	@Option(name = "--streams", title = "COUNT", description = "Number of drafts; default 1")
	private int streams = 1;

	@Option(name = "--tokens", title = "COUNT", description = "Tokens per draft; default 100")
	private int tokens = 100;

	@Option(name = "--layers", title = "COUNT", description = "Layers of the model; default 32")
	private int layers = 32;

	@Override
	public void run() {
		DraftProbe probe = new DraftProbe();
		List<Future<DraftProbe.Result>> futures = new ArrayList<>();
		List<DraftProbe.Result> results = new ArrayList<>();
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < this.streams; i++) {
				String entry = this.entries.get(i % this.entries.size());
				String prompt = "prompt " + i;
				futures.add(executor.submit(() -> probe.draft(entry, this.key, prompt, this.layers, this.tokens)));
			}
		}
		futures.forEach((future) -> results.add(future.resultNow()));
		System.out.println(summary(results));
	}

	private static ObjectNode summary(List<DraftProbe.Result> results) {
		ObjectNode node = Json.object();
		node.put("streams", results.size());
		node.put("whole", results.stream().filter(DraftProbe.Result::complete).count());
		node.put("right", results.stream().filter(DraftProbe.Result::correct).count());
		node.put("status", results.get(0).status());
		node.put("outcome", results.get(0).outcome());
		node.put("request_id", results.get(0).requestId());
		node.put("max_gap_ms", Math.round(results.stream().mapToDouble(DraftProbe.Result::maxGapMs).max().orElse(0)));
		node.put("first_token_ms",
				Math.round(results.stream().mapToDouble(DraftProbe.Result::firstTokenMs).max().orElse(0)));
		node.put("total_ms", Math.round(results.stream().mapToDouble(DraftProbe.Result::totalMs).max().orElse(0)));
		return node;
	}

}
