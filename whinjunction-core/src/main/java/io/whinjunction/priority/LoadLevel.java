package io.whinjunction.priority;

/**
 * The load of a service with hysteresis, so that decisions don't follow the noise of
 * measurements.
 * <p>
 * Invariants: from 0 to 1 for any input; within {@link #PLAY} of the last valid
 * measurement; unchanged while measurements vary by less than twice that. Confined to the
 * event loop.
 */
public final class LoadLevel {

	/** How far a measurement may depart from the level without moving it. */
	static final double PLAY = 0.02;

	private double value;

	/**
	 * Moves the level to a measurement.
	 * @param measured the measured load, where 1 is full; ignored if it is not a number
	 * @return the level
	 */
	public double update(double measured) {
		if (!Double.isNaN(measured)) {
			double bounded = Math.clamp(measured, 0, 1);
			this.value = Math.clamp(Math.clamp(this.value, bounded - PLAY, bounded + PLAY), 0, 1);
		}
		return this.value;
	}

	/**
	 * Returns the level.
	 * @return from 0 to 1
	 */
	public double value() {
		return this.value;
	}

}
