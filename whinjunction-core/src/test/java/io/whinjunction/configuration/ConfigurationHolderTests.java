package io.whinjunction.configuration;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationHolder}.
 */
class ConfigurationHolderTests {

	// Late, doubled and crossed manifests reach an entry from the platform and from
	// peers. Taking an older one would bring back a place rule that was tightened.
	@Property(seed = "21")
	void theRevisionNeverGoesDown(@ForAll @Size(max = 50) List<@LongRange(min = 1, max = 20) Long> revisions) {
		ConfigurationHolder holder = new ConfigurationHolder();
		long highest = 0;
		for (long revision : revisions) {
			holder.offer(new Manifest(revision, Json.object(), "n" + revision));
			highest = Math.max(highest, revision);
			assertThat(holder.configuration().revision()).isEqualTo(highest);
		}
	}

	@Test
	void aManifestThatFailsItsChecksIsNotTaken() {
		ConfigurationHolder holder = new ConfigurationHolder();
		assertThat(holder.offer(new Manifest(3, Json.object().put("palces", 1), "n"))).isFalse();
		assertThat(holder.configuration().revision()).isZero();
	}

	@Test
	void aManifestSurvivesItsStoredForm() {
		Manifest manifest = new Manifest(4, Json.object().put("x", "y"), "nonce");
		assertThat(Manifest.parse(manifest.toJson())).isEqualTo(manifest);
		assertThat(Manifest.parse("{\"revision\":\"4\"}")).isNull();
		assertThat(Manifest.parse("{")).isNull();
	}

}
