package io.whinjunction.dist;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the runtime image that the build of the deploy file makes.
 */
class RuntimeImageTests {

	private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

	private static final long MAX_BUILD_S = 240;

	private static final String LOG_CLASSES = "-Xlog:class+load";

	private static final String ARCHIVED = "source: shared objects file";

	@TempDir
	Path directory;

	// Guards against a build without a class archive, whose starts take three times the
	// processor time.
	@Test
	void aStartTakesItsClassesFromTheArchiveOfTheBuild() throws Exception {
		Outcome build = run(ROOT, List.of("deploy/make-runtime"));

		assertThat(build.code()).as(build.output()).isZero();
		assertThat(build.output()).doesNotContain("no training run");
		assertThat(archivedClasses(ROOT)).contains("io.whinjunction.adapter.RouterMain",
				"io.whinjunction.adapter.PlatformSettings");
	}

	// Guards against a builder that can't run the stand-ins: no archive was made, and the
	// build succeeded.
	@Test
	void aBuildWithoutATrainingRunSaysSoAndHasAnArchive() throws Exception {
		copyBuild();

		Outcome build = run(this.directory, List.of("deploy/make-runtime"));

		assertThat(build.code()).as(build.output()).isZero();
		assertThat(build.output()).contains("no training run");
		assertThat(archivedClasses(this.directory)).contains("io.whinjunction.adapter.RouterMain");
	}

	// Guards against a build that succeeds although its archive could not be made.
	@Test
	void aBuildWhoseArchiveCannotBeMadeFailsAndSaysWhy() throws Exception {
		copyBuild();
		Path file = this.directory.resolve("deploy/system.toml");
		Files.writeString(file,
				Files.readString(file).replace("-XX:+UseSerialGC", "-XX:+UseSerialGC -XX:NoSuchOption=1"));

		Outcome build = run(this.directory, List.of("deploy/make-runtime"));

		assertThat(build.code()).isEqualTo(3);
		assertThat(build.output()).contains("no class archive was made", "NoSuchOption");
	}

	private void copyBuild() throws IOException {
		for (String part : List.of("deploy", "target/router/lib", "target/router/whin-router.jar",
				"whinjunction-linker/target/classes")) {
			try (Stream<Path> files = Files.walk(ROOT.resolve(part))) {
				for (Path file : files.filter(Files::isRegularFile).toList()) {
					Path copy = this.directory.resolve(ROOT.relativize(file));
					Files.createDirectories(copy.getParent());
					Files.copy(file, copy);
				}
			}
		}
	}

	// Returns the names of the classes that a start loads from the archive.
	private List<String> archivedClasses(Path build) throws Exception {
		Path settings = Files.writeString(this.directory.resolve("empty.toml"), "");
		String command = Files.readAllLines(build.resolve("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow()
			.replaceAll("^run = \"|\"$", "")
			.replace("bin/java ", "bin/java " + LOG_CLASSES + " ")
			.replace("--callers {{listen.frontend}}", "check " + settings);
		return run(build, List.of(command.split(" "))).output()
			.lines()
			.filter((line) -> line.contains(ARCHIVED))
			.map((line) -> line.replaceAll("^\\[.*\\] ", "").split(" ")[0])
			.toList();
	}

	private Outcome run(Path where, List<String> command) throws Exception {
		Path log = this.directory.resolve("output.log");
		Process process = new ProcessBuilder(command).directory(where.toFile())
			.redirectErrorStream(true)
			.redirectOutput(log.toFile())
			.start();
		if (!process.waitFor(MAX_BUILD_S, TimeUnit.SECONDS)) {
			process.destroyForcibly();
		}
		return new Outcome(process.waitFor(), Files.readString(log, StandardCharsets.UTF_8));
	}

	private record Outcome(int code, String output) {
	}

}
