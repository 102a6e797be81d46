package io.whinjunction.time;

/**
 * A monotonic clock that includes the time during which the machine is suspended. The
 * monotonic clock of the Java runtime stops during a suspension, and the time of day
 * jumps when it is set. Implementations are thread-safe.
 */
@FunctionalInterface
public interface BootClock {

	/**
	 * Returns the milliseconds since an arbitrary origin, including suspensions.
	 * @return the time in milliseconds
	 */
	long nowMs();

}
