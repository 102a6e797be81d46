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
	void theExampleIsInOrderAndItsCommentsShowTheDefaults() throws IOException {
		Path example = Path.of("../examples/entry.toml");
		EntrySettings plain = ((Checked.Valid) EntrySettings.read(example)).settings();
		String shown = Files.readString(example)
			.replaceAll("(?m)^# ([a-z-]+ = \\S+)$", "$1")
			.replaceAll("(?s)# \\[tls].*", "")
			.replaceAll("(?m)^(certificate|key|authority) = .*$", "");
		EntrySettings spelt = ((Checked.Valid) EntrySettings.read(write(shown))).settings();
		assertThat(spelt).isEqualTo(plain);
		assertThat(plain.limits().streams()).isEqualTo(256);
		assertThat(plain.peerAddress()).isEqualTo("127.0.0.1:8082");
	}

	@Test
	void everyFaultIsNamedWithItsKey() throws IOException {
		Checked checked = EntrySettings.read(write("""
				id = "e"
				caller-port = 70000
				peer-port = 1
				operator-port = 0
				platfrom = "x"
				[timing]
				drain-ms = "1m"
				"""));
		List<String> faults = ((Checked.Invalid) checked).problems().stream().map(Problem::toString).toList();
		assertThat(faults).hasSize(5)
			.anyMatch((fault) -> fault.contains("failure-domain: is missing"))
			.anyMatch((fault) -> fault.contains("platform: is missing"))
			.anyMatch((fault) -> fault.contains("caller-port: '70000' is not a whole number from 0 to 65535"))
			.anyMatch((fault) -> fault.contains("platfrom: is not known; did you mean 'platform'?"))
			.anyMatch((fault) -> fault.contains("timing.drain-ms: '1m'"));
	}

	private Path write(String text) throws IOException {
		return Files.writeString(this.folder.resolve("entry.toml"), text);
	}

}
