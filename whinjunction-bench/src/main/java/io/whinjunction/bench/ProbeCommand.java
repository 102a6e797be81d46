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
 * Sends drafts at once and prints one line of JSON on what their callers saw.
 */
@Command(name = "probe", description = "Sends streamed drafts at once, checks every token, prints a line of JSON")
public final class ProbeCommand implements Runnable {

	@Option(name = "--entry", title = "HOST:PORT", description = "An entry's callers' port; several are taken in turn")
	private List<String> entries = new ArrayList<>();

	@Option(name = "--key", title = "KEY", description = "The team's key")
	private String key = "";

	@Option(name = "--streams", title = "COUNT", description = "How many drafts; default 1")
	private int streams = 1;

	@Option(name = "--tokens", title = "COUNT", description = "Tokens a draft; default 100")
	private int tokens = 100;

	@Option(name = "--layers", title = "COUNT", description = "The model's layers; default 32")
	private int layers = 32;

	@Override
	public void run() {
		DraftProbe probe = new DraftProbe();
		List<Future<DraftProbe.Result>> running = new ArrayList<>();
		List<DraftProbe.Result> seen = new ArrayList<>();
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < this.streams; i++) {
				String entry = this.entries.get(i % this.entries.size());
				String prompt = "prompt " + i;
				running.add(executor.submit(() -> probe.draft(entry, this.key, prompt, this.layers, this.tokens)));
			}
		}
		running.forEach((one) -> seen.add(one.resultNow()));
		System.out.println(summary(seen));
	}

	private static ObjectNode summary(List<DraftProbe.Result> seen) {
		ObjectNode node = Json.object();
		node.put("streams", seen.size());
		node.put("whole", seen.stream().filter(DraftProbe.Result::complete).count());
		node.put("right", seen.stream().filter(DraftProbe.Result::correct).count());
		node.put("status", seen.get(0).status());
		node.put("outcome", seen.get(0).outcome());
		node.put("request_id", seen.get(0).requestId());
		node.put("max_gap_ms", Math.round(seen.stream().mapToDouble(DraftProbe.Result::maxGapMs).max().orElse(0)));
		node.put("first_token_ms",
				Math.round(seen.stream().mapToDouble(DraftProbe.Result::firstTokenMs).max().orElse(0)));
		node.put("total_ms", Math.round(seen.stream().mapToDouble(DraftProbe.Result::totalMs).max().orElse(0)));
		return node;
	}

}
