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

	// Manifests from the platform and from peers arrive late, duplicated and out of
	// order. Accepting an older one would restore a place rule that has been tightened.
	@Property(seed = "21")
	void theRevisionNeverDecreases(@ForAll @Size(max = 50) List<@LongRange(min = 1, max = 20) Long> revisions) {
		ConfigurationHolder holder = new ConfigurationHolder();
		long highest = 0;
		for (long revision : revisions) {
			holder.offer(new Manifest(revision, Json.object(), "n" + revision));
			highest = Math.max(highest, revision);
			assertThat(holder.configuration().revision()).isEqualTo(highest);
		}
	}

	@Test
	void anInvalidManifestIsNotAccepted() {
		ConfigurationHolder holder = new ConfigurationHolder();
		assertThat(holder.offer(new Manifest(3, Json.object().put("palces", 1), "n"))).isFalse();
		assertThat(holder.configuration().revision()).isZero();
	}

	@Test
	void aManifestSurvivesARoundTripThroughItsStoredForm() {
		Manifest manifest = new Manifest(4, Json.object().put("x", "y"), "nonce");
		assertThat(Manifest.parse(manifest.toJson())).isEqualTo(manifest);
		assertThat(Manifest.parse("{\"revision\":\"4\"}")).isNull();
		assertThat(Manifest.parse("{")).isNull();
	}

}
