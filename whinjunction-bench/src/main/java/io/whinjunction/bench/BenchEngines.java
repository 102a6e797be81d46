package io.whinjunction.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;

import io.whinjunction.engine.EngineClient;

/**
 * Emulates engines in real time, each with a configured rate, a batch, and a link of a
 * configured latency. Answers are well-formed, but no model computes them. Thread-safe
 * once all engines are added.
 */
final class BenchEngines implements EngineClient {

	private static final int BATCH = 4;

	private final Map<String, Server> servers = new HashMap<>();

	private final LongAdder prefills = new LongAdder();

	void add(String address, double ratePerSecond, double linkMs, boolean last) {
		this.servers.put(address, new Server(ratePerSecond, linkMs, last));
	}

	Server server(String address) {
		return this.servers.get(address);
	}

	long prefills() {
		return this.prefills.sum();
	}

	@Override
	public StepResult step(String address, Step step, long timeoutMs) {
		Server server = this.servers.get(address);
		if (server.crashed) {
			return new StepResult.NotSent("connection refused");
		}
		if (step.position() == 0) {
			this.prefills.increment();
		}
		long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		park(server.linkNs);
		server.running.incrementAndGet();
		try {
			if (!server.slots.tryAcquire(Math.max(0, endNs - System.nanoTime()), TimeUnit.NANOSECONDS)) {
				return new StepResult.Failed("silent", true);
			}
			try {
				return serve(server, step, endNs);
			}
			finally {
				server.slots.release();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new StepResult.Failed("interrupted", false);
		}
		finally {
			server.running.decrementAndGet();
		}
	}

	@Override
	public void cancel(String address, String stream) {
		// No state to release.
	}

	@Override
	public EngineReport report(String address) {
		Server server = this.servers.get(address);
		return new EngineReport("llm", null, 1, 0, server.running.get(), server.ratePerSecond, false, false);
	}

	@Override
	public boolean order(String address, LoadOrder order) {
		return false;
	}

	private static StepResult serve(Server server, Step step, long endNs) {
		long stepNs = (long) (server.slowdown * BATCH * 1e9 / server.ratePerSecond);
		park(stepNs);
		while (server.frozen && !server.crashed && System.nanoTime() < endNs) {
			park(1_000_000);
		}
		if (server.crashed) {
			return new StepResult.Failed("reset", false);
		}
		if (server.frozen || System.nanoTime() > endNs) {
			return new StepResult.Failed("silent", true);
		}
		return new StepResult.Done(step.stream(), step.attempt(), step.position(), step.range(), step.generation(),
				server.last ? List.of("t") : step.inputs());
	}

	private static void park(long durationNs) {
		long endNs = System.nanoTime() + durationNs;
		long remainingNs = durationNs;
		while (remainingNs > 0) {
			LockSupport.parkNanos(remainingNs);
			remainingNs = endNs - System.nanoTime();
		}
	}

	/**
	 * State of one engine. Faults may be injected while it serves. Thread-safe.
	 */
	static final class Server {

		private final double ratePerSecond;

		private final long linkNs;

		private final boolean last;

		private final Semaphore slots = new Semaphore(BATCH, true);

		private final AtomicInteger running = new AtomicInteger();

		private volatile double slowdown = 1;

		private volatile boolean crashed;

		private volatile boolean frozen;

		Server(double ratePerSecond, double linkMs, boolean last) {
			this.ratePerSecond = ratePerSecond;
			this.linkNs = (long) (linkMs * 1e6);
			this.last = last;
		}

		int running() {
			return this.running.get();
		}

		double ratePerSecond() {
			return this.ratePerSecond;
		}

		double currentRate() {
			return this.ratePerSecond / this.slowdown;
		}

		void slowDown(double factor) {
			this.slowdown = factor;
		}

		void crash() {
			this.crashed = true;
		}

		void freeze(boolean newValue) {
			this.frozen = newValue;
		}

	}

}
