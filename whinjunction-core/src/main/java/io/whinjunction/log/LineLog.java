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
 * Log lines of {@code key=value} pairs on standard output, for small instances: it starts
 * in a few milliseconds and never blocks who logs.
 * <p>
 * The failure it is there for: whoever reads the log stands still, the pipe fills, and a
 * write on the event loop would stop all requests. Lines go through a bounded queue to a
 * writer of its own; where the queue is full they are dropped and counted.
 * <p>
 * Invariant: at most {@link #CAPACITY} lines wait. Safe for all threads.
 */
public final class LineLog extends Handler {

	/** Lines of a busy router for longer than a reader usually stands still. */
	private static final int CAPACITY = 2048;

	/** Lines wait this long for others, in milliseconds, to be written in one call. */
	private static final long GATHER_MS = 100;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final FileOutputStream out = new FileOutputStream(FileDescriptor.out);

	private final TimestampFormatter time = new TimestampFormatter();

	private LineLog() {
	}

	/**
	 * Takes over all logging of the process.
	 * @return the log
	 */
	public static LineLog install() {
		System.setProperty("flogger.backend_factory",
				"com.google.common.flogger.backend.system.SimpleBackendFactory#getInstance");
		LogManager.getLogManager().reset();
		LineLog log = new LineLog();
		Logger root = Logger.getLogger("");
		root.setLevel(Level.WARNING);
		Logger.getLogger("io.whinjunction").setLevel(Level.INFO);
		root.addHandler(log);
		Thread writer = new Thread(log::write, "log-writer");
		writer.setDaemon(true);
		writer.start();
		return log;
	}

	/**
	 * Lines that were dropped because too many waited.
	 * @return how many since the start
	 */
	public long dropped() {
		return this.dropped.get();
	}

	@Override
	public void publish(LogRecord record) {
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
		line.append('\n');
		if (!this.lines.offer(line.toString())) {
			this.dropped.incrementAndGet();
		}
	}

	@Override
	public synchronized void flush() {
		StringBuilder gathered = new StringBuilder();
		String line = this.lines.poll();
		while (line != null) {
			gathered.append(line);
			line = this.lines.poll();
		}
		try {
			this.out.write(gathered.toString().getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			// Standard output is gone, and with it the only place to say so; the counter
			// is on the metrics address.
			this.dropped.incrementAndGet();
		}
	}

	@Override
	public void close() {
		flush();
	}

	private void write() {
		try {
			while (true) {
				String first = this.lines.take();
				Thread.sleep(GATHER_MS);
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
