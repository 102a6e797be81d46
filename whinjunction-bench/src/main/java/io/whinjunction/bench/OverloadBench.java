package io.whinjunction.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;

import io.whinjunction.admission.AdmissionQueue;
import io.whinjunction.admission.AdmissionQueue.Ticket;
import io.whinjunction.admission.ConcurrencyLimit;
import io.whinjunction.outcome.Outcome;
import io.whinjunction.session.DraftResult;
import io.whinjunction.session.TokenSink;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures overload: the load is one, two and five times the bound, sent by one large
 * team and nine small ones. Reports useful answers in time, the served ratio of the small
 * teams, refusals and retries.
 */
final class OverloadBench {

	private static final int TOKENS = 24;

	private static final long DEADLINE_MS = 8000;

	private static final int TEAM_COUNT = 10;

	/**
	 * Ratio of the offered load at 1x that the large team sends; the small ones share the
	 * rest.
	 */
	private static final double LARGE_TEAM_RATIO = 0.8;

	private final long runMs;

	OverloadBench(long runMs) {
		this.runMs = runMs;
	}

	void run(Report report) {
		for (int factor : new int[] { 1, 2, 5 }) {
			measure(report, factor);
		}
		report.atLeast("overload.2x.useful", 0.95 * report.value("overload.1x.useful"));
		report.atLeast("overload.5x.useful", 0.95 * report.value("overload.1x.useful"));
		report.atLeast("overload.5x.small-teams-served", 0.95);
		report.atMost("overload.5x.refused-after-waiting", 0.05);
		report.atMost("overload.5x.retries", 0.1);
		report.atMost("overload.5x.poll-p99", 50);
	}

	private void measure(Report report, int factor) {
		try (BenchFleet fleet = new BenchFleet(Policies::ours, 500, 5);
				ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			LoadGenerator generator = new LoadGenerator(fleet);
			double perSecond = factor * fleet.boundPerSecond() / TOKENS;
			Random random = new Random(6);
			long startNs = System.nanoTime();
			long warmUpEndNs = startNs + DEADLINE_MS * 1_000_000;
			long endNs = warmUpEndNs + this.runMs * 1_000_000;
			double nextNs = startNs;
			for (int n = 0; System.nanoTime() < endNs; n++) {
				nextNs += -Math.log(1 - random.nextDouble()) * 1e9 / perSecond;
				LockSupport.parkNanos((long) nextNs - System.nanoTime());
				generator.measuring = System.nanoTime() > warmUpEndNs;
				int request = n;
				// The demand of the small teams stays as at 1x; the large team causes the
				// overload.
				boolean small = random.nextDouble() < (1 - LARGE_TEAM_RATIO) / factor;
				int team = small ? 1 + random.nextInt(TEAM_COUNT - 1) : 0;
				executor.execute(() -> generator.request(request, team));
			}
			generator.measuring = false;
			generator.stopped = true;
			String prefix = "overload." + factor + "x.";
			report.put(prefix + "useful", "of the bound",
					generator.useful.sum() * TOKENS * 1000.0 / this.runMs / fleet.boundPerSecond());
			report.put(prefix + "small-teams-served", "of their requests",
					(double) generator.smallServed.sum() / Math.max(1, generator.smallRequests.sum()));
			report.put(prefix + "refused", "of requests", (double) generator.refused.sum() / generator.requests.sum());
			report.put(prefix + "late", "of requests", (double) generator.late.sum() / generator.requests.sum());
			report.put(prefix + "refused-after-waiting", "of refusals",
					1 - generator.refusalUs.getPercentileAtOrBelowValue(100_000) / 100);
			report.put(prefix + "refusal-p50", "ms", generator.refusalUs.getValueAtPercentile(50) / 1000.0);
			report.put(prefix + "retries", "per request", (double) generator.retries.sum() / generator.requests.sum());
			report.put(prefix + "poll-p99", "ms", generator.pollUs.getValueAtPercentile(99) / 1000.0);
		}
	}

	/**
	 * Sends requests through the admission queues of the entries and counts their
	 * results. Thread-safe.
	 */
	private static final class LoadGenerator {

		private final BenchFleet fleet;

		private final List<AdmissionQueue> drafts = new ArrayList<>();

		private final List<AdmissionQueue> calls = new ArrayList<>();

		private final AtomicInteger next = new AtomicInteger();

		private final LongAdder requests = new LongAdder();

		private final LongAdder useful = new LongAdder();

		private final LongAdder late = new LongAdder();

		private final LongAdder refused = new LongAdder();

		private final LongAdder retries = new LongAdder();

		private final LongAdder smallRequests = new LongAdder();

		private final LongAdder smallServed = new LongAdder();

		private final Histogram refusalUs = new ConcurrentHistogram(3);

		private final Histogram pollUs = new ConcurrentHistogram(3);

		private volatile boolean measuring;

		private volatile boolean stopped;

		LoadGenerator(BenchFleet fleet) {
			this.fleet = fleet;
			for (int i = 0; i < BenchFleet.ENTRIES; i++) {
				this.drafts.add(new AdmissionQueue(ConcurrencyLimit.adaptive(256), 256));
				this.calls.add(new AdmissionQueue(ConcurrencyLimit.adaptive(64), 64));
			}
		}

		void request(int n, int team) {
			int entry = this.next.getAndIncrement() % BenchFleet.ENTRIES;
			poll(entry, team);
			long startNs = System.nanoTime();
			AdmissionQueue queue = this.drafts.get(entry);
			boolean admitted = enter(queue, "team-" + team);
			if (!admitted) {
				if (this.measuring) {
					this.refusalUs.recordValue((System.nanoTime() - startNs) / 1000);
				}
				count(team, this.refused);
				return;
			}
			long enteredNs = System.nanoTime();
			try {
				long remainingMs = DEADLINE_MS - (enteredNs - startNs) / 1_000_000;
				DraftResult result = this.fleet.draft(entry, "o" + n, TOKENS, remainingMs, new Sink(queue, enteredNs));
				if (this.measuring) {
					this.retries.add(result.attempts() - 1);
				}
				count(team, (result.outcome() instanceof Outcome.Answered) ? this.useful : this.late);
			}
			finally {
				queue.leave("team-" + team, (System.nanoTime() - enteredNs) / 1e6, System.nanoTime() / 1_000_000);
			}
		}

		private void poll(int entry, int team) {
			long startNs = System.nanoTime();
			AdmissionQueue queue = this.calls.get(entry);
			if (enter(queue, "team-" + team)) {
				queue.leave("team-" + team, 1, System.nanoTime() / 1_000_000);
			}
			this.pollUs.recordValue((System.nanoTime() - startNs) / 1000);
		}

		private void count(int team, LongAdder counter) {
			if (!this.measuring) {
				return;
			}
			this.requests.increment();
			counter.increment();
			if (team > 0) {
				this.smallRequests.increment();
				if (counter == this.useful) {
					this.smallServed.increment();
				}
			}
		}

		private static boolean enter(AdmissionQueue queue, String team) {
			Ticket ticket = queue.enter(team, 1, DEADLINE_MS);
			if (!(ticket instanceof Ticket.Waiting waiting)) {
				return ticket instanceof Ticket.Admitted;
			}
			try {
				return waiting.admitted().get(AdmissionQueue.waitMs(DEADLINE_MS), TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException ex) {
				return !queue.cancel(team, waiting);
			}
			catch (InterruptedException | ExecutionException ex) {
				throw new IllegalStateException(ex);
			}
		}

		private final class Sink implements TokenSink {

			private final AdmissionQueue queue;

			private final long enteredNs;

			private int count;

			Sink(AdmissionQueue queue, long enteredNs) {
				this.queue = queue;
				this.enteredNs = enteredNs;
			}

			@Override
			public void token(String token) {
				long nowNs = System.nanoTime();
				this.count++;
				this.queue.recordProgress(nowNs / 1_000_000, (nowNs - this.enteredNs) / 1e6 * TOKENS / this.count,
						DEADLINE_MS);
			}

			@Override
			public boolean cancelled() {
				return LoadGenerator.this.stopped;
			}

		}

	}

}
