import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record2 implements AutoCloseable {

	private final PrintWriter out;

	private final long startNs = System.nanoTime();

	Record2(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	long nowMs() {
		return (System.nanoTime() - this.startNs) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.println(String.format("%8d ms  %s", nowMs(), text));
		this.out.flush();
	}

	@Override
	public void close() {
		this.out.close();
	}

}
