package io.whinjunction.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import io.whinjunction.configuration.Manifest;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.standins.FakeObjectStore;
import io.whinjunction.standins.FakeObjectStore.Fault;
import io.whinjunction.standins.PlatformServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WhinMain}: exit codes, messages and concurrent changes by operators.
 */
class WhinMainTests {

	private static final String PLACE = "[places.poa]\nregion = \"rs\"\nfailure-domains = [\"poa-a\"]\n";

	private final FakeObjectStore store = new FakeObjectStore();

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private final PrintStream originalOut = System.out;

	private final PrintStream originalErr = System.err;

	private HttpServer platform;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() {
		this.platform = HttpServer.start(HttpServerSettings.plain("127.0.0.1", 0), new PlatformServer(this.store));
		System.setOut(new PrintStream(this.out, true, StandardCharsets.UTF_8));
		System.setErr(new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

	@AfterEach
	void stop() {
		System.setOut(this.originalOut);
		System.setErr(this.originalErr);
		this.platform.close();
	}

	@Test
	void checkReportsTheFileTheKeyTheFaultAndTheNearestMatch() throws IOException {
		String file = file("bad.toml", PLACE.replace("region", "regoin"));
		assertThat(WhinMain.run("check", file)).isEqualTo(2);
		assertThat(this.err.toString()).contains("bad.toml: places.poa.regoin: is not known; did you mean 'region'?")
			.contains("bad.toml: places.poa.region: is missing");
	}

	@Test
	void checkCountsTheSectionsOfAValidFile() throws IOException {
		assertThat(WhinMain.run("check", file("good.toml", PLACE))).isZero();
		assertThat(this.out.toString()).contains("1 places, 0 services, 0 teams");
	}

	@Test
	void applyRaisesTheRevisionByOneAndDiffShowsWhatWouldChange() throws IOException {
		assertThat(run("apply", file("a.toml", PLACE))).isZero();
		assertThat(this.out.toString()).contains("accepted: revision 1");
		String changed = file("b.toml", PLACE.replace("\"rs\"", "\"sc\""));
		assertThat(run("diff", changed)).isEqualTo(1);
		assertThat(this.out.toString()).contains("~ places.poa.region: \"rs\" -> \"sc\"");
		assertThat(run("apply", changed)).isZero();
		assertThat(run("apply", changed)).isZero();
		assertThat(this.out.toString()).contains("unchanged: revision 2");
		assertThat(revision()).isEqualTo(2);
	}

	// Two operators read revision 1 and both apply a change. Guards against the second
	// overwriting the first: it must report a conflict.
	@Test
	void theSecondOfTwoConcurrentOperatorsGetsAConflictAndChangesNothing() throws IOException {
		run("apply", file("a.toml", PLACE));
		assertThat(run("apply", file("b.toml", PLACE.replace("rs", "sc")), "--expect-revision", "1")).isZero();
		assertThat(run("apply", file("c.toml", PLACE.replace("rs", "pr")), "--expect-revision", "1")).isEqualTo(3);
		assertThat(this.err.toString()).contains("the revision is 2, not 1; nothing was changed");
		assertThat(manifest().document().toString()).contains("sc").doesNotContain("pr\"");
	}

	// The write took effect and its reply was lost. Guards against reporting a conflict
	// with another operator although the stored change is the operator's own.
	@Test
	void aChangeWhoseReplyWasLostIsReportedAsAccepted() throws IOException {
		this.store.fault(Fault.LOST_REPLY_ONCE);
		assertThat(run("apply", file("a.toml", PLACE))).isZero();
		assertThat(this.out.toString()).contains("accepted: revision 1");
	}

	@Test
	void withThePlatformDownApplyChangesNothingAndExitsAsUnavailable() throws IOException {
		this.store.fault(Fault.OUTAGE);
		assertThat(run("apply", file("a.toml", PLACE))).isEqualTo(4);
		assertThat(this.err.toString()).contains("nothing was changed");
	}

	@Test
	void lossesAreGroupedByCause() throws IOException {
		Path log = this.folder.resolve("router.log");
		Files.writeString(log,
				"""
						time=2026-05-14T17:15:00.213Z event=request id=a outcome=answered first-ms=40 gap-ms=60 aim-ms=500 gap-aim-ms=200
						time=2026-05-14T17:15:01.213Z event=request id=b outcome=answered first-ms=40 gap-ms=260 aim-ms=500 gap-aim-ms=200
						time=2026-05-14T17:15:02.213Z event=request id=c outcome=refused reason=no-upstream
						""");

		assertThat(WhinMain.run("losses", log.toString())).isZero();

		assertThat(this.out.toString(StandardCharsets.UTF_8)).containsPattern("SLOW_PAUSE +1 +33.3")
			.containsPattern("REFUSED +1 +33.3")
			.containsPattern("all +2 +66.7");
		assertThat(WhinMain.run("losses", this.folder.resolve("none").toString())).isEqualTo(2);
	}

	@Test
	void anUnknownOrMissingOptionIsAUsageError() {
		assertThat(WhinMain.run("status", "--nonsense")).isEqualTo(2);
		assertThat(WhinMain.run("status", "--platform", address())).isEqualTo(2);
		assertThat(this.err.toString()).contains("--entry HOST:PORT is needed");
	}

	private int run(String command, String file, String... more) {
		String[] args = new String[4 + more.length];
		args[0] = command;
		args[1] = file;
		args[2] = "--platform";
		args[3] = address();
		System.arraycopy(more, 0, args, 4, more.length);
		return WhinMain.run(args);
	}

	private String address() {
		return "127.0.0.1:" + this.platform.port();
	}

	private long revision() {
		return manifest().revision();
	}

	private Manifest manifest() {
		return Manifest.parse(((Read.Found) this.store.read(Manifest.KEY)).value());
	}

	private String file(String name, String text) throws IOException {
		return Files.writeString(this.folder.resolve(name), text).toString();
	}

}
