package io.whinjunction.bench;

/**
 * Results of emulated chains as seen by callers. Confined to one thread.
 */
final class ChainResult {

	private static final double FIRST_EVENT_TARGET_MS = 500;

	private final double pauseTargetMs;

	/** Callers abandon a stream after a pause of this length, in milliseconds. */
	private static final double ABANDON_PAUSE_MS = 2000;

	private int requests;

	private int onTime;

	private int late;

	private double eventSumMs;

	private int eventsTimed;

	private double firstEventSumMs;

	private int firstEventsTimed;

	ChainResult(double pauseTargetMs) {
		this.pauseTargetMs = pauseTargetMs;
	}

	void add(EmulatedStream stream) {
		this.requests++;
		boolean completed = stream.completed();
		boolean meetsTargets = completed && stream.firstEventMs() <= FIRST_EVENT_TARGET_MS
				&& stream.longestPauseMs() <= this.pauseTargetMs;
		this.onTime += meetsTargets ? 1 : 0;
		this.late += (completed && !meetsTargets && stream.longestPauseMs() < ABANDON_PAUSE_MS) ? 1 : 0;
		if (completed && stream.events() > 1) {
			this.eventSumMs += stream.lastEventMs() - stream.startedMs() - stream.firstEventMs();
			this.eventsTimed += stream.events() - 1;
		}
		if (completed) {
			this.firstEventSumMs += stream.firstEventMs();
			this.firstEventsTimed++;
		}
	}

	/**
	 * Returns the ratio of the possible benefit that is earned. A late answer counts for
	 * a quarter of one on time.
	 * @return the ratio, from 0 to 1
	 */
	double benefit() {
		return (this.onTime + 0.25 * this.late) / Math.max(1, this.requests);
	}

	double meanEventMs() {
		return this.eventSumMs / Math.max(1, this.eventsTimed);
	}

	double meanFirstMs() {
		return this.firstEventSumMs / Math.max(1, this.firstEventsTimed);
	}

}
