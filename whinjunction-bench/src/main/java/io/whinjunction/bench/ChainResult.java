package io.whinjunction.bench;

/**
 * What callers of emulated chains saw. Confined to one thread.
 */
final class ChainResult {

	private static final double FIRST_EVENT_AIM_MS = 500;

	private final double pauseAimMs;

	/** Callers leave a stream after a pause of this length, in milliseconds. */
	private static final double PATIENCE_MS = 2000;

	private int asked;

	private int onTime;

	private int late;

	private double eventMs;

	private int eventsTimed;

	private double firstMs;

	private int firsts;

	ChainResult(double pauseAimMs) {
		this.pauseAimMs = pauseAimMs;
	}

	void add(EmulatedStream stream) {
		this.asked++;
		boolean whole = stream.completed();
		boolean inTime = whole && stream.firstEventMs() <= FIRST_EVENT_AIM_MS
				&& stream.longestPauseMs() <= this.pauseAimMs;
		this.onTime += inTime ? 1 : 0;
		this.late += (whole && !inTime && stream.longestPauseMs() < PATIENCE_MS) ? 1 : 0;
		if (whole && stream.events() > 1) {
			this.eventMs += stream.lastEventMs() - stream.startedMs() - stream.firstEventMs();
			this.eventsTimed += stream.events() - 1;
		}
		if (whole) {
			this.firstMs += stream.firstEventMs();
			this.firsts++;
		}
	}

	/**
	 * The part of the benefit that is earned: late answers are worth a quarter.
	 * @return 0 to 1
	 */
	double benefit() {
		return (this.onTime + 0.25 * this.late) / Math.max(1, this.asked);
	}

	double meanEventMs() {
		return this.eventMs / Math.max(1, this.eventsTimed);
	}

	double meanFirstMs() {
		return this.firstMs / Math.max(1, this.firsts);
	}

}
