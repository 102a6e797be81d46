package io.whinjunction.standins;

import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.http.Call;
import io.whinjunction.http.CallResult;
import io.whinjunction.http.HttpCaller;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.log.Logs;
import tools.jackson.databind.node.ObjectNode;

/**
 * The {@code whin-standin} program: a small fake of the platform, of an engine or of a
 * plain service, for local trials and tests.
 */
@Command(name = "whin-standin", description = "Runs a small fake of the platform, of an engine or of a plain service")
public final class StandinMain {

	private static final int USAGE = 2;

	private static final int CONNECT_MS = 2000;

	@Option(name = "--role", title = "ROLE",
			description = "platform, engine, booking, relay; or expected, which prints the correct draft")
	@Required
	@AllowedRawValues(allowedValues = { "platform", "engine", "booking", "relay", "expected" })
	private String role;

	@Option(name = "--port", title = "PORT", description = "The port to listen on")
	private int port;

	@Option(name = "--id", title = "NAME", description = "The id of the instance; default: ROLE-PORT")
	private String id;

	@Option(name = "--platform", title = "HOST:PORT", description = "The platform to register with as an instance")
	private String platform;

	@Option(name = "--advertise", title = "HOST:PORT", description = "The address to register; default: 127.0.0.1:PORT")
	private String advertise;

	@Option(name = "--service", title = "NAME", description = "The service of the instance")
	private String service = "";

	@Option(name = "--failure-domain", title = "NAME", description = "The failure domain of the instance")
	private String failureDomain = "";

	@Option(name = "--layers", title = "COUNT", description = "The number of the model's layers; default 32")
	private int layers = 32;

	@Option(name = "--range", title = "FIRST-END",
			description = "The layers the engine holds; default: none, a spare engine")
	private String range;

	@Option(name = "--step-ms", title = "MS", description = "The duration of a step; default 2")
	private int stepMs = 2;

	@Option(name = "--report-lag-ms", title = "MS", description = "The maximum age of a load report; default 500")
	private int reportLagMs = 500;

	@Option(name = "--checks-fencing", description = "Refuse orders with an outdated fencing number")
	private boolean checksFencing;

	@Option(name = "--prompt", title = "TEXT", description = "The prompt of the expected draft")
	private String prompt = "";

	@Option(name = "--count", title = "COUNT", description = "The number of tokens of the expected draft; default 16")
	private int count = 16;

	@Option(name = "--target", title = "HOST:PORT", description = "The address to which a relay forwards connections")
	private String target;

	/**
	 * Runs the stand-in until SIGTERM.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		Logs.initialize();
		try {
			SingleCommand.singleCommand(StandinMain.class).parse(args).run();
		}
		catch (ParseException ex) {
			System.err.println("whin-standin: " + ex.getMessage());
			System.exit(USAGE);
		}
		catch (Exception ex) {
			System.err.println("whin-standin: " + ex);
			System.exit(USAGE);
		}
	}

	private void run() throws Exception {
		if (this.role.equals("expected")) {
			System.out.println(String.join("", ReferenceModel.draft(this.prompt, this.layers, this.count)));
			return;
		}
		if (this.role.equals("relay")) {
			Relay.start(this.port, this.target);
		}
		else {
			HttpServer.start(new HttpServerSettings("127.0.0.1", this.port, 8 << 20, 16 << 10, 30_000, null),
					handler());
			register();
		}
		System.out.println("whin-standin " + this.role + " " + this.port);
		new CountDownLatch(1).await();
	}

	private Handler handler() {
		return switch (this.role) {
			case "platform" -> new PlatformServer(new FakeObjectStore());
			case "booking" -> new BookingServer();
			default -> new EngineServer(
					new FakeEngine(this.service, this.layers,
							(this.range != null) ? LayerRange.parse(this.range) : null,
							(this.stepMs > 0) ? 8000.0 / this.stepMs : 8000, this.checksFencing),
					this.stepMs, this.reportLagMs);
		};
	}

	private void register() {
		if (this.platform == null) {
			return;
		}
		ObjectNode node = Json.object();
		node.put("id", (this.id != null) ? this.id : this.role + "-" + this.port);
		node.put("service", this.service);
		node.put("address", (this.advertise != null) ? this.advertise : "127.0.0.1:" + this.port);
		node.put("failure-domain", this.failureDomain);
		node.put("accelerator-kind", this.role.equals("engine") ? "kind-" + this.stepMs : "");
		try (HttpCaller caller = new HttpCaller(CONNECT_MS, CONNECT_MS)) {
			CallResult result = caller.call(Call.json("POST", this.platform, "/register", node.toString(), CONNECT_MS));
			if (!(result instanceof CallResult.Response)) {
				throw new IllegalStateException("cannot register at " + this.platform + ": " + result);
			}
		}
	}

}
