package io.whinjunction.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/**
 * Configures logging as JSON on standard error, through Flogger. Lines contain requests,
 * teams, services, places and outcomes, but never a prompt, an answer or a key.
 * Stateless.
 */
public final class Logs {

	private Logs() {
	}

	/**
	 * Selects Flogger's back end; must be called before the first log line.
	 */
	public static void initialize() {
		System.setProperty("flogger.backend_factory",
				"com.google.common.flogger.backend.log4j2.Log4j2BackendFactory#getInstance");
	}

	/**
	 * Changes the log level at run time.
	 * @param level the name of the level, for example {@code debug}
	 * @return whether the level exists
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
