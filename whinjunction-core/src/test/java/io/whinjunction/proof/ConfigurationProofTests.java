package io.whinjunction.proof;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationProof}.
 */
class ConfigurationProofTests {

	private final ConfigurationProof proof = new ConfigurationProof(4400, 2000);

	@Test
	void withoutAProofNoKeyIsHonouredAndNoRequestIsDenied() {
		assertThat(this.proof.honoursKeys(0)).isFalse();
		assertThat(this.proof.allowsDenial(0)).isFalse();
	}

	// Guards against accepting a key that was revoked an hour ago while the machine was
	// suspended. On a clock that does not count the suspension the proof would appear
	// fresh. The clock in use counts it, so the first check after the suspension refuses.
	@Test
	void aProofIsOldAfterASuspension() {
		this.proof.recordProof(1000);

		assertThat(this.proof.honoursKeys(1500)).isTrue();
		assertThat(this.proof.honoursKeys(3_601_500)).isFalse();
	}

	// The reply to a read took five seconds. Its content was true when the read was sent,
	// not when the reply arrived.
	@Test
	void aLateReplyProvesOnlyTheTimeOfItsRequest() {
		this.proof.recordProof(1000);

		assertThat(this.proof.honoursKeys(6000)).isFalse();
	}

	@Test
	void anOlderProofDoesNotReplaceANewerOne() {
		this.proof.recordProof(5000);
		this.proof.recordProof(100);

		assertThat(this.proof.ageMs(5000)).isZero();
	}

	@Test
	void aPermanentDenialNeedsAYoungerProofThanAKey() {
		this.proof.recordProof(0);

		assertThat(this.proof.allowsDenial(1999)).isTrue();
		assertThat(this.proof.allowsDenial(2000)).isFalse();
		assertThat(this.proof.honoursKeys(2000)).isTrue();
	}

}
