package standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The record of a run: what was sent, answered and run, with the time since its start.
 * Thread-safe.
 */
public final class Record {

	private final long startNs = System.nanoTime();

	private final List<String> lines = new ArrayList<>();

	public synchronized void add(String format, Object... values) {
		String line = String.format(Locale.ROOT, "%9.3f s  ", (System.nanoTime() - this.startNs) / 1e9)
				+ String.format(Locale.ROOT, format, values);
		this.lines.add(line);
	}

	public synchronized void write(Path file) throws IOException {
		Files.write(file, this.lines);
	}

}
