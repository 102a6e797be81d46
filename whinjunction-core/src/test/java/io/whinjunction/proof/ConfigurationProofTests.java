package io.whinjunction.proof;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whether a router may act on its configuration.
 */
class ConfigurationProofTests {

	private final ConfigurationProof proof = new ConfigurationProof(4400, 2000);

	@Test
	void withoutAProofNothingIsHonouredOrDenied() {
		assertThat(this.proof.honoursKeys(0)).isFalse();
		assertThat(this.proof.allowsDenial(0)).isFalse();
	}

	// A key that was taken away an hour ago works: the machine was suspended, and the
	// clock that does not count the suspension shows the proof as fresh. The clock handed
	// in counts it, so the first look after it refuses.
	@Test
	void aProofIsOldAfterASuspension() {
		this.proof.recordProof(1000);

		assertThat(this.proof.honoursKeys(1500)).isTrue();
		assertThat(this.proof.honoursKeys(3_601_500)).isFalse();
	}

	// The reply to a read was five seconds on its way; what it says was true when it was
	// asked for, not when it came.
	@Test
	void aLateReplyProvesOnlyTheMomentOfItsQuestion() {
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
	void aRequestIsDeniedForGoodOnlyWithAYoungerProofThanKeysNeed() {
		this.proof.recordProof(0);

		assertThat(this.proof.allowsDenial(1999)).isTrue();
		assertThat(this.proof.allowsDenial(2000)).isFalse();
		assertThat(this.proof.honoursKeys(2000)).isTrue();
	}

}
