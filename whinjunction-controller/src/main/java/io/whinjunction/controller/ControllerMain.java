package io.whinjunction.controller;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.whinjunction.configuration.Problem;
import io.whinjunction.log.Logs;

/**
 * The {@code whin-controller} program. Exit codes: 0 stopped, 2 invalid settings or
 * arguments.
 */
@Command(name = "whin-controller", description = "Runs a controller, a candidate for issuing orders to engines")
public final class ControllerMain {

	private static final int USAGE = 2;

	@Option(name = "--settings", title = "FILE", description = "The controller's TOML settings")
	@Required
	private String settingsFile;

	/**
	 * Runs the controller until SIGTERM.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		Logs.initialize();
		try {
			SingleCommand.singleCommand(ControllerMain.class).parse(args).run();
		}
		catch (ParseException ex) {
			System.err.println("whin-controller: " + ex.getMessage() + "\nusage: whin-controller --settings FILE");
			System.exit(USAGE);
		}
		catch (Exception ex) {
			System.err.println("whin-controller: " + ex.getMessage());
			System.exit(USAGE);
		}
	}

	private void run() throws Exception {
		List<Problem> problems = new ArrayList<>();
		ControllerSettings settings = ControllerSettings.read(Path.of(this.settingsFile), problems);
		if (!problems.isEmpty()) {
			problems.forEach((problem) -> System.err.println("whin-controller: " + problem));
			System.exit(USAGE);
		}
		Controller controller = new Controller(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			controller.close();
			Runtime.getRuntime().halt(0);
		}));
		System.out.println("whin-controller " + settings.id() + " is a candidate");
		new CountDownLatch(1).await();
	}

}
