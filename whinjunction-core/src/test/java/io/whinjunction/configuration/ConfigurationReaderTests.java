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

	private static final String VALID = """
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
	void aValidFileIsReadCompletely() throws IOException {
		Configuration configuration = valid(VALID);
		assertThat(configuration.places().get("poa").failureDomains()).containsExactlyInAnyOrder("poa-a", "poa-b");
		assertThat(configuration.services().get("whin-llm")).isInstanceOf(Service.Model.class);
		assertThat(configuration.placeOf("poa-b")).map(Place::name).contains("poa");
	}

	@Test
	void anOverlayReplacesSingleValues() throws IOException {
		Path base = write("base.toml", VALID);
		Path overlay = write("overlay.toml", "[teams.agencia]\nweight = 7\n");
		Checked checked = ConfigurationReader.readFiles(base, List.of(overlay));
		Team team = ((Checked.Valid) checked).configuration().teams().get("agencia");
		assertThat(team.weight()).isEqualTo(7);
		assertThat(team.places()).containsExactly("poa");
	}

	@Test
	void allProblemsAreReportedTogetherWithKeyBadValueAndWhatIsAllowed() throws IOException {
		List<String> problems = problems("""
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
		assertThat(problems).hasSize(13)
			.anyMatch((problem) -> problem.contains("places.cxs.region: '7' is not a string in quotes"))
			.anyMatch((problem) -> problem.contains("'poa-a' is already assigned to place 'poa'"))
			.anyMatch((problem) -> problem.contains("'4-16' overlaps the range before it"))
			.anyMatch((problem) -> problem.contains("layers 16 to 19 are not covered by any range"))
			.anyMatch((problem) -> problem.contains("'x' is not FIRST-END"))
			.anyMatch((problem) -> problem.contains("end at layer 24, the model has 32"))
			.anyMatch((problem) -> problem.contains("step-timeout-ms: '2s' is not a whole number from 10 to 3600000"))
			.anyMatch((problem) -> problem.contains("'plane' is not a kind of service; did you mean 'plain'?"))
			.anyMatch((problem) -> problem.contains("'short' is not a SHA-256"))
			.anyMatch((problem) -> problem.contains("'whin-lm' is not known; did you mean 'whin-llm'?"))
			.anyMatch((problem) -> problem.contains("'pao' is not known; did you mean 'poa'?"))
			.anyMatch((problem) -> problem.contains("wieght: is not known; did you mean 'weight'?"))
			.anyMatch((problem) -> problem.contains("team: is not known; did you mean 'teams'?"));
	}

	@Test
	void aTeamWithoutAnyPlaceIsReported() throws IOException {
		assertThat(problems(VALID.replace("places = [\"poa\"]", "places = []")))
			.anyMatch((problem) -> problem.contains("permits no place"));
	}

	@Test
	void aTomlSyntaxErrorIsReportedWithItsLine() throws IOException {
		assertThat(problems("[places\n")).singleElement().asString().contains("base.toml: line 1: is not TOML");
	}

	private Configuration valid(String text) throws IOException {
		Checked checked = ConfigurationReader.readFiles(write("base.toml", text), List.of());
		assertThat(checked).isInstanceOf(Checked.Valid.class);
		return ((Checked.Valid) checked).configuration();
	}

	private List<String> problems(String text) throws IOException {
		Checked checked = ConfigurationReader.readFiles(write("base.toml", text), List.of());
		assertThat(checked).isInstanceOf(Checked.Invalid.class);
		return ((Checked.Invalid) checked).problems().stream().map(Problem::toString).toList();
	}

	private Path write(String name, String text) throws IOException {
		return Files.writeString(this.folder.resolve(name), text);
	}

}
