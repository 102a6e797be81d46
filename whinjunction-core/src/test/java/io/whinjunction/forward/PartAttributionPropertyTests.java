package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.whinjunction.forward.PartCrashSimulation.Day;
import io.whinjunction.forward.PartCrashSimulation.Kill;
import io.whinjunction.forward.PartCrashSimulation.Result;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which parts of prompts are blamed on generated days of a fleet whose messages get lost.
 */
class PartAttributionPropertyTests {

	private static final int MAX_SENDS_AFTER = 3;

	// Guards against a simulation that depends on more than its seed.
	@Example
	void aDayIsPlayedTheSameAgain() {
		Day day = new Day(7, 8, 25_000, 60, 10, 2, 0.3, 300, 0.07, 5744, false, List.of());

		Set<Result> results = new HashSet<>();
		for (int played = 0; played < 20; played++) {
			results.add(PartCrashSimulation.play(day, 6744, PartCrashSimulation.Product::new));
		}

		assertThat(results).hasSize(1);
	}

	// Guards against refusing what sound requests share because engines end, one or many
	// at once, while they run such requests.
	@Property(tries = 30, seed = "1")
	void enginesThatEndAtOnceCondemnNoPart(@ForAll long seed,
			@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 6) Integer> kills,
			@ForAll @IntRange(min = 1, max = 100) int firstParts) {
		List<Kill> spread = new ArrayList<>();
		for (int index = 0; index < kills.size(); index++) {
			spread.add(new Kill(3000 + 2500L * index, index, kills.get(index), 0));
		}

		Result result = PartCrashSimulation.play(
				new Day(7, 8, 25_000, 60, firstParts, 2, 0.3, 300, 0, 0, false, spread), seed,
				PartCrashSimulation.Product::new);

		assertThat(result.soundRefused()).isZero();
	}

	// Guards against a part that is sent on once all routers can know it, and against
	// refusing what its requests share with sound ones.
	@Property(tries = 30, seed = "1")
	void aCrashingPartIsRefusedAndItsCompanionsAreNot(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 100) int firstParts, @ForAll boolean oneFirstPart,
			@ForAll @LongRange(min = 2000, max = 8000) long fromMs, @ForAll @IntRange(min = 1, max = 8) int percent) {
		Day day = new Day(7, 8, 25_000, 60, firstParts, 2, 0.3, 300, percent / 100.0, fromMs, oneFirstPart, List.of());

		Result result = PartCrashSimulation.play(day, seed, PartCrashSimulation.Product::new);

		assertThat(result.lateSends()).isLessThanOrEqualTo(MAX_SENDS_AFTER);
		assertThat(result.soundRefused()).isLessThanOrEqualTo(result.sound() / 100);
	}

}
