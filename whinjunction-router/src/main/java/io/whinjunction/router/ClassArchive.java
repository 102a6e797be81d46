package io.whinjunction.router;

import com.google.common.flogger.FluentLogger;

/**
 * Tells whether this process uses a class archive. Stateless.
 */
public final class ClassArchive {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** What the virtual machine says of itself if it uses a class archive. */
	private static final String SHARES_CLASSES = "sharing";

	private ClassArchive() {
	}

	/**
	 * Logs and counts it: without the archive of the build a start takes three times the
	 * processor time.
	 * @param metrics the metrics of this process
	 */
	public static void record(RouterMetrics metrics) {
		boolean used = System.getProperty("java.vm.info", "").contains(SHARES_CLASSES);
		metrics.state("class_archive", used ? 1 : 0);
		logger.atInfo().log("event=class-archive used=%s", used);
	}

}
