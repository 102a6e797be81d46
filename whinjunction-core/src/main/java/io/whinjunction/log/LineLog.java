package io.whinjunction.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log lines of {@code key=value} pairs to standard output, for small instances. It
 * starts in a few milliseconds and never blocks the logging thread.
 * <p>
 * Guards against a stalled log reader: the pipe fills, and a write on the event loop
 * would block all requests. Lines pass through a bounded queue to a dedicated writer
 * thread; if the queue is full they are dropped and counted.
 * <p>
 * Invariant: at most {@link #CAPACITY} lines are queued. Thread-safe.
 */
public final class LineLog extends Handler {

	/** Holds the lines of a busy router for longer than a reader usually stalls. */
	private static final int CAPACITY = 2048;

	/** Longer lines are cut: a caller chooses the ids that they name. */
	static final int MAX_LINE_CHARS = 4096;

	/**
	 * How long a line waits for further ones, in milliseconds, so that they are written
	 * in one call.
	 */
	private static final long BATCH_MS = 100;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final FileOutputStream out = new FileOutputStream(FileDescriptor.out);

	private final TimestampFormatter time = new TimestampFormatter();

	/**
	 * Kept here because the runtime holds loggers weakly, and a collected one loses its
	 * level.
	 */
	private final Logger ownLogger = Logger.getLogger("io.whinjunction");

	private LineLog() {
	}

	/**
	 * Installs this handler for all logging of the process.
	 * @return the log
	 */
	public static LineLog install() {
		System.setProperty("flogger.backend_factory",
				"com.google.common.flogger.backend.system.SimpleBackendFactory#getInstance");
		// The library's defaults, which it otherwise searches the class path for.
		System.setProperty("flogger.logging_context",
				"com.google.common.flogger.context.ContextDataProvider#getNoOpProvider");
		System.setProperty("flogger.clock", "com.google.common.flogger.backend.system.SystemClock#getInstance");
		LogManager.getLogManager().reset();
		LineLog log = new LineLog();
		Logger root = Logger.getLogger("");
		root.setLevel(Level.WARNING);
		log.ownLogger.setLevel(Level.INFO);
		root.addHandler(log);
		Thread writer = new Thread(log::writeLines, "log-writer");
		writer.setDaemon(true);
		writer.start();
		return log;
	}

	/**
	 * Returns the number of lines dropped because the queue was full.
	 * @return the number since the start
	 */
	public long dropped() {
		return this.dropped.get();
	}

	@Override
	public void publish(LogRecord record) {
		if (!this.lines.offer(format(record))) {
			this.dropped.incrementAndGet();
		}
	}

	String format(LogRecord record) {
		StringBuilder line = new StringBuilder(160);
		line.append("time=");
		this.time.append(line, record.getInstant());
		line.append(" level=").append(record.getLevel().getName()).append(' ').append(record.getMessage());
		for (Throwable cause = record.getThrown(); cause != null; cause = cause.getCause()) {
			line.append(" cause=\"").append(cause).append('"');
			if (cause.getStackTrace().length > 0) {
				line.append(" at=").append(cause.getStackTrace()[0]);
			}
		}
		line.setLength(Math.min(line.length(), MAX_LINE_CHARS));
		return line.append('\n').toString();
	}

	@Override
	public synchronized void flush() {
		StringBuilder batch = new StringBuilder();
		String line = this.lines.poll();
		while (line != null) {
			batch.append(line);
			line = this.lines.poll();
		}
		try {
			this.out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			// Standard output is closed, so the failure cannot be logged; the counter is
			// available on the metrics address.
			this.dropped.incrementAndGet();
		}
	}

	@Override
	public void close() {
		flush();
	}

	private void writeLines() {
		try {
			while (true) {
				String first = this.lines.take();
				Thread.sleep(BATCH_MS);
				this.out.write(first.getBytes(StandardCharsets.UTF_8));
				flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			this.dropped.incrementAndGet();
		}
	}

}
