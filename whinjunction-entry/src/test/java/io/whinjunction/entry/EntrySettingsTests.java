package io.whinjunction.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.whinjunction.configuration.Problem;
import io.whinjunction.entry.EntrySettings.Checked;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EntrySettings}.
 */
class EntrySettingsTests {

	@TempDir
	private Path folder;

	@Test
	void theExampleIsValidAndItsCommentsShowTheDefaults() throws IOException {
		Path example = Path.of("../examples/entry.toml");
		EntrySettings defaults = ((Checked.Valid) EntrySettings.read(example)).settings();
		String uncommented = Files.readString(example)
			.replaceAll("(?m)^# ([a-z-]+ = \\S+)$", "$1")
			.replaceAll("(?s)# \\[tls].*", "")
			.replaceAll("(?m)^(certificate|key|authority) = .*$", "");
		EntrySettings explicit = ((Checked.Valid) EntrySettings.read(write(uncommented))).settings();
		assertThat(explicit).isEqualTo(defaults);
		assertThat(defaults.limits().streams()).isEqualTo(256);
		assertThat(defaults.peerAddress()).isEqualTo("127.0.0.1:8082");
	}

	@Test
	void everyProblemIsReportedWithItsKey() throws IOException {
		Checked checked = EntrySettings.read(write("""
				id = "e"
				caller-port = 70000
				peer-port = 1
				operator-port = 0
				platfrom = "x"
				[timing]
				drain-ms = "1m"
				"""));
		List<String> problems = ((Checked.Invalid) checked).problems().stream().map(Problem::toString).toList();
		assertThat(problems).hasSize(5)
			.anyMatch((problem) -> problem.contains("failure-domain: is missing"))
			.anyMatch((problem) -> problem.contains("platform: is missing"))
			.anyMatch((problem) -> problem.contains("caller-port: '70000' is not a whole number from 0 to 65535"))
			.anyMatch((problem) -> problem.contains("platfrom: is not known; did you mean 'platform'?"))
			.anyMatch((problem) -> problem.contains("timing.drain-ms: '1m'"));
	}

	private Path write(String text) throws IOException {
		return Files.writeString(this.folder.resolve("entry.toml"), text);
	}

}
