package io.whinjunction.session;

import io.whinjunction.pipeline.Upstream;

/**
 * Accumulates what one stage did in one attempt. Confined to the session's thread.
 */
final class HopRecorder {

	private final int attempt;

	private final Upstream stage;

	private int steps;

	private double millis;

	private String end = "ok";

	HopRecorder(int attempt, Upstream stage) {
		this.attempt = attempt;
		this.stage = stage;
	}

	void ran(long tookMs) {
		this.steps++;
		this.millis += tookMs;
	}

	void failed(long tookMs, String reason) {
		this.millis += tookMs;
		this.end = reason;
	}

	Hop hop() {
		return new Hop(this.attempt, this.stage.id(), this.stage.failureDomain(), this.stage.range(),
				this.stage.generation(), this.steps, this.millis, this.end);
	}

}
