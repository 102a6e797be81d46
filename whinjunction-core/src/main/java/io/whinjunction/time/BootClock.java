package io.whinjunction.time;

/**
 * A clock that goes on while the machine is suspended and never jumps. The monotonic
 * clock of the runtime stands still meanwhile, and the time of day jumps when it is set.
 * Implementations are safe for all threads.
 */
@FunctionalInterface
public interface BootClock {

	/**
	 * Milliseconds since an arbitrary origin, suspensions included.
	 * @return the time in milliseconds
	 */
	long nowMs();

}
