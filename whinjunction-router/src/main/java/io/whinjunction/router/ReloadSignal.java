package io.whinjunction.router;

import sun.misc.Signal;

/**
 * Takes the signal that the settings have changed, which by default would end the
 * process.
 * <p>
 * Invariant: a signal that arrives before the reload can run is not lost, it runs then.
 * Thread-safe.
 */
public final class ReloadSignal {

	/** {@code null} until the process can reload. */
	private Runnable reload;

	private boolean pending;

	/**
	 * Takes the signal from now on.
	 * @return the handler
	 */
	public static ReloadSignal install() {
		ReloadSignal handler = new ReloadSignal();
		Signal.handle(new Signal("HUP"), (signal) -> handler.onSignal());
		return handler;
	}

	/** Reloads, or puts it off. */
	public synchronized void onSignal() {
		if (this.reload != null) {
			this.reload.run();
		}
		else {
			this.pending = true;
		}
	}

	/**
	 * Sets what a signal does, and does it if one was received.
	 * @param reload the action
	 */
	public synchronized void ready(Runnable reload) {
		this.reload = reload;
		if (this.pending) {
			this.pending = false;
			reload.run();
		}
	}

}
