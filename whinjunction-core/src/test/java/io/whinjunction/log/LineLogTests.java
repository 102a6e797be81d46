package io.whinjunction.log;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LineLogTests {

	@AfterEach
	void restoreLogging() throws IOException {
		LogManager.getLogManager().readConfiguration();
	}

	// Guards against a process that stops to log its decisions after its first garbage
	// collection.
	@Test
	void ownLinesAreStillLoggedAfterUnusedLoggersWereCollected() throws InterruptedException {
		LineLog.install();
		WeakReference<Logger> unused = new WeakReference<>(Logger.getLogger("io.whinjunction.unused"));

		while (unused.get() != null) {
			System.gc();
			Thread.sleep(10);
		}

		assertThat(Logger.getLogger("io.whinjunction.log").isLoggable(Level.INFO)).isTrue();
	}

	// Guards against queued lines that fill the memory, as callers choose their ids.
	@Test
	void aLineIsBoundedInLength() {
		LogRecord record = new LogRecord(Level.INFO, "event=request id=" + "x".repeat(10 * LineLog.MAX_LINE_CHARS));

		assertThat(LineLog.install().format(record)).hasSize(LineLog.MAX_LINE_CHARS + 1).endsWith("\n");
	}

}
