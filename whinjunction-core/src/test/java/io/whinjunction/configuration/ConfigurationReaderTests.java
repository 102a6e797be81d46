package io.whinjunction.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.whinjunction.configuration.ConfigurationReader.Checked;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationReader}.
 */
class ConfigurationReaderTests {

	private static final String HASH = "a".repeat(64);

	private static final String GOOD = """
			[places.poa]
			region = "rs-sul"
			failure-domains = ["poa-a", "poa-b"]

			[services.whin-llm]
			kind = "model"
			layers = 16
			layer-ranges = ["0-8", "8-16"]

			[teams.agencia]
			key-sha256 = ["%s"]
			services = ["whin-llm"]
			places = ["poa"]
			""".formatted(HASH);

	@TempDir
	private Path folder;

	@Test
	void aGoodFileIsReadWhole() throws IOException {
		Configuration configuration = valid(GOOD);
		assertThat(configuration.places().get("poa").failureDomains()).containsExactlyInAnyOrder("poa-a", "poa-b");
		assertThat(configuration.services().get("whin-llm")).isInstanceOf(Service.Model.class);
		assertThat(configuration.placeOf("poa-b")).map(Place::name).contains("poa");
	}

	@Test
	void anOverlayReplacesSingleValues() throws IOException {
		Path base = write("base.toml", GOOD);
		Path overlay = write("overlay.toml", "[teams.agencia]\nweight = 7\n");
		Checked checked = ConfigurationReader.readFiles(base, List.of(overlay));
		Team team = ((Checked.Valid) checked).configuration().teams().get("agencia");
		assertThat(team.weight()).isEqualTo(7);
		assertThat(team.places()).containsExactly("poa");
	}

	@Test
	void everyFaultIsReportedAtOnceWithItsKeyTheBadValueAndWhatIsAllowed() throws IOException {
		List<String> faults = faults("""
				[places.poa]
				region = "rs-sul"
				failure-domains = ["poa-a"]

				[places.cxs]
				region = 7
				failure-domains = ["poa-a"]

				[services.whin-llm]
				kind = "model"
				layers = 32
				layer-ranges = ["0-8", "4-16", "20-24", "x"]
				step-timeout-ms = "2s"

				[services.booking]
				kind = "plane"

				[teams.agencia]
				key-sha256 = ["short"]
				services = ["whin-lm"]
				places = ["pao"]
				wieght = 2

				[team.other]
				""");
		assertThat(faults).hasSize(13)
			.anyMatch((fault) -> fault.contains("places.cxs.region: '7' is not a text in quotes"))
			.anyMatch((fault) -> fault.contains("'poa-a' lies in place 'poa' already"))
			.anyMatch((fault) -> fault.contains("'4-16' overlaps the range before it"))
			.anyMatch((fault) -> fault.contains("layers 16 to 19 are in no range"))
			.anyMatch((fault) -> fault.contains("'x' is not FIRST-END"))
			.anyMatch((fault) -> fault.contains("end at layer 24, the model has 32"))
			.anyMatch((fault) -> fault.contains("step-timeout-ms: '2s' is not a whole number from 10 to 3600000"))
			.anyMatch((fault) -> fault.contains("'plane' is no kind of service; did you mean 'plain'?"))
			.anyMatch((fault) -> fault.contains("'short' is not a SHA-256"))
			.anyMatch((fault) -> fault.contains("'whin-lm' is not known; did you mean 'whin-llm'?"))
			.anyMatch((fault) -> fault.contains("'pao' is not known; did you mean 'poa'?"))
			.anyMatch((fault) -> fault.contains("wieght: is not known; did you mean 'weight'?"))
			.anyMatch((fault) -> fault.contains("team: is not known; did you mean 'teams'?"));
	}

	@Test
	void aTeamWithoutAnyPlaceIsAFault() throws IOException {
		assertThat(faults(GOOD.replace("places = [\"poa\"]", "places = []")))
			.anyMatch((fault) -> fault.contains("permits no place"));
	}

	@Test
	void aFileThatIsNotTomlNamesTheLine() throws IOException {
		assertThat(faults("[places\n")).singleElement().asString().contains("base.toml: line 1: is not TOML");
	}

	private Configuration valid(String text) throws IOException {
		Checked checked = ConfigurationReader.readFiles(write("base.toml", text), List.of());
		assertThat(checked).isInstanceOf(Checked.Valid.class);
		return ((Checked.Valid) checked).configuration();
	}

	private List<String> faults(String text) throws IOException {
		Checked checked = ConfigurationReader.readFiles(write("base.toml", text), List.of());
		assertThat(checked).isInstanceOf(Checked.Invalid.class);
		return ((Checked.Invalid) checked).problems().stream().map(Problem::toString).toList();
	}

	private Path write(String name, String text) throws IOException {
		return Files.writeString(this.folder.resolve(name), text);
	}

}
