package io.whinjunction.router;

import io.whinjunction.priority.Lateness;
import io.whinjunction.routing.RouteLimits;

/**
 * Measures how late one running stream is, compared with what its route promises.
 * <p>
 * Samples the counters of the stream's attempt from time to time, so that an event costs
 * nothing. Invariant: an attempt that replaces another one is measured from its own
 * start. Confined to the event loop.
 */
final class StreamPace {

	private Attempt measured;

	private int eventBatches;

	private long progressAtMs;

	private boolean firstRecorded;

	/**
	 * Samples the stream.
	 * @param session the stream
	 * @param firstEvents collects times to first events
	 * @param gaps collects gaps between events
	 * @param nowMs the time
	 */
	void sample(ForwardSession session, Lateness firstEvents, Lateness gaps, long nowMs) {
		Attempt attempt = session.attemptUnderWay();
		if (attempt == null) {
			return;
		}
		RouteLimits limits = session.route().limits();
		if (!this.firstRecorded) {
			sampleFirst(session, firstEvents, limits.targetLatencyMs(), nowMs);
		}
		if (attempt != this.measured) {
			this.measured = attempt;
			this.eventBatches = 0;
		}
		int batches = attempt.eventBatches();
		if (this.eventBatches > 0 && limits.gapTargetMs() > 0) {
			sampleGap(attempt, gaps, limits.gapTargetMs(), nowMs);
		}
		this.eventBatches = batches;
		this.progressAtMs = attempt.progressAtMs();
	}

	private void sampleFirst(ForwardSession session, Lateness firstEvents, long targetMs, long nowMs) {
		this.firstRecorded = session.answerBegun();
		// Time in this router's own line says nothing about the engines.
		long tookMs = (this.firstRecorded ? session.progress().firstMs() : nowMs - session.startedMs())
				- session.waitedMs();
		if (targetMs > 0 && (this.firstRecorded || tookMs >= targetMs)) {
			firstEvents.record((double) tookMs / targetMs, nowMs);
		}
	}

	private void sampleGap(Attempt attempt, Lateness gaps, long targetMs, long nowMs) {
		int arrived = attempt.eventBatches() - this.eventBatches;
		long quietMs = nowMs - attempt.progressAtMs();
		if (arrived > 0) {
			gaps.record((double) (attempt.progressAtMs() - this.progressAtMs) / arrived / targetMs, nowMs);
		}
		else if (quietMs >= targetMs) {
			gaps.record((double) quietMs / targetMs, nowMs);
		}
	}

}
