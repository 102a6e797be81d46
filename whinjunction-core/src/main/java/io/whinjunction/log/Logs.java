package io.whinjunction.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/**
 * Log lines as JSON on standard error, through Flogger. Lines name requests, teams,
 * services, places and outcomes, never a prompt, an answer or a key. Stateless.
 */
public final class Logs {

	private Logs() {
	}

	/**
	 * Sends Flogger to the back end; called before the first log line.
	 */
	public static void initialize() {
		System.setProperty("flogger.backend_factory",
				"com.google.common.flogger.backend.log4j2.Log4j2BackendFactory#getInstance");
	}

	/**
	 * Changes the level while the process runs.
	 * @param level for example {@code debug}
	 * @return whether there is such a level
	 */
	public static boolean setLevel(String level) {
		Level parsed = Level.toLevel(level, null);
		if (parsed == null) {
			return false;
		}
		Configurator.setLevel("io.whinjunction", parsed);
		return true;
	}

}
