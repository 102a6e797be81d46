package io.whinjunction.entry;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.whinjunction.log.Logs;

/**
 * The {@code whin-entry} program. Exit codes: 0 after a graceful stop, 1 if requests were
 * cut off at the drain limit, 2 if the settings or arguments are invalid.
 */
@Command(name = "whin-entry", description = "Takes callers' requests and routes them to upstreams")
public final class EntryMain {

	private static final int CUT_OFF = 1;

	private static final int USAGE = 2;

	@Option(name = "--settings", title = "FILE", description = "The entry's TOML settings")
	@Required
	private String settingsFile;

	/**
	 * Runs the entry until SIGTERM.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		Logs.initialize();
		try {
			SingleCommand.singleCommand(EntryMain.class).parse(args).run();
		}
		catch (ParseException ex) {
			System.err.println("whin-entry: " + ex.getMessage() + "\nusage: whin-entry --settings FILE");
			System.exit(USAGE);
		}
		catch (Exception ex) {
			System.err.println("whin-entry: " + ex.getMessage());
			System.exit(USAGE);
		}
	}

	private void run() throws Exception {
		EntrySettings.Checked checked = EntrySettings.read(Path.of(this.settingsFile));
		if (checked instanceof EntrySettings.Checked.Invalid invalid) {
			invalid.problems().forEach((problem) -> System.err.println("whin-entry: " + problem));
			System.exit(USAGE);
		}
		EntrySettings settings = ((EntrySettings.Checked.Valid) checked).settings();
		Entry entry = new Entry(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(entry)));
		System.out.println("whin-entry " + settings.id() + " callers " + entry.callerPort() + " operators "
				+ entry.operatorPort());
		new CountDownLatch(1).await();
	}

	private static void stop(Entry entry) {
		try {
			if (entry.stop() > 0) {
				Runtime.getRuntime().halt(CUT_OFF);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		// The default exit code after a signal would not show that the stop was graceful.
		Runtime.getRuntime().halt(0);
	}

}
