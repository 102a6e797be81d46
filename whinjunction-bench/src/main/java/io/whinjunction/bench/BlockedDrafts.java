package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.configuration.Place;
import io.whinjunction.configuration.Service;
import io.whinjunction.configuration.Team;
import io.whinjunction.engine.EngineClient;
import io.whinjunction.pipeline.ChoicePolicy;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.Upstream;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.place.PlaceRules;
import io.whinjunction.place.Placement;
import io.whinjunction.session.DraftRequest;
import io.whinjunction.session.DraftSession;
import io.whinjunction.session.RetryBudget;
import io.whinjunction.session.TokenSink;
import io.whinjunction.time.Ticker;

/**
 * Drafts that block in their second step, to measure the memory of an open stream.
 * Confined to one thread.
 */
final class BlockedDrafts {

	private static final LayerRange RANGE = new LayerRange(0, 8);

	private static final Service.Model MODEL = new Service.Model("llm", 8, List.of(RANGE), true, 1, 600_000, 600_000);

	private static final Team TEAM = new Team("t", Set.of(), Set.of("llm"), Set.of("p"), 1, 1);

	private final Placement placement = new Placement(TEAM,
			new PlaceRules(new Configuration(1, Map.of("p", new Place("p", "r", Set.of("d"))), Map.of(), Map.of())));

	private final UpstreamTable table = new UpstreamTable();

	private final List<Thread> threads = new ArrayList<>();

	private final BlockingEngineClient engineClient;

	BlockedDrafts(CountDownLatch blocked, CountDownLatch release) {
		this.engineClient = new BlockingEngineClient(blocked, release);
		this.table.replace(List.of(new Upstream("e", "llm", "e", "d", RANGE, 1, 1, 0, false)));
	}

	void start(int index) {
		String prompt = "a prompt of forty characters, number " + index;
		DraftRequest request = new DraftRequest("r" + index, MODEL, () -> this.placement, prompt, 2,
				Long.MAX_VALUE / 2);
		DraftSession session = new DraftSession(request,
				new PipelineChooser(this.table, ChoicePolicy.standard(), Ticker.system(), new Random(index)),
				this.table, this.engineClient, new RetryBudget(0.1, 20), Ticker.system());
		this.threads.add(Thread.startVirtualThread(() -> session.run(new DiscardingSink())));
	}

	void join() {
		for (Thread thread : this.threads) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private static final class DiscardingSink implements TokenSink {

		@Override
		public void token(String token) {
			// Tokens are not needed.
		}

		@Override
		public boolean cancelled() {
			return false;
		}

	}

	private record BlockingEngineClient(CountDownLatch blocked, CountDownLatch release) implements EngineClient {

		@Override
		public StepResult step(String address, Step step, long timeoutMs) {
			if (step.position() > 0) {
				this.blocked.countDown();
				try {
					this.release.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
			return new StepResult.Done(step.stream(), step.attempt(), step.position(), step.range(), step.generation(),
					List.of("t"));
		}

		@Override
		public void cancel(String address, String stream) {
			// No state to release.
		}

		@Override
		public EngineReport report(String address) {
			return null;
		}

		@Override
		public boolean order(String address, LoadOrder order) {
			return false;
		}

	}

}
