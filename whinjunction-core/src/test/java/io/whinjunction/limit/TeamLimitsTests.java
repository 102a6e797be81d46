package io.whinjunction.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.whinjunction.configuration.Team;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TeamLimits} and {@link LimitOwner}.
 */
class TeamLimitsTests {

	private static final int ENTRIES = 8;

	private static final double RATE = 80;

	private static final Team TEAM = new Team("agencia", Set.of(), Set.of(), Set.of("poa"), RATE, 1);

	@Test
	void aRefusedRequestGetsTheTimeUntilATokenIsAvailable() {
		TeamLimits limits = new TeamLimits();
		while (limits.tryStart(TEAM, ENTRIES, 0) == 0) {
			// Empties the new bucket, which holds one second's worth.
		}
		long waitMs = limits.tryStart(TEAM, ENTRIES, 0);
		assertThat(waitMs).isPositive();
		assertThat(limits.tryStart(TEAM, ENTRIES, waitMs)).isZero();
	}

	// Regression: when the first callers of a team reached an entry within one
	// millisecond, all but one were refused although the team was far below its rate.
	@Test
	void aFirstBurstWithinTheBaseShareIsAdmitted() {
		TeamLimits limits = new TeamLimits();
		for (int i = 0; i < (int) LimitShares.base(RATE, ENTRIES); i++) {
			assertThat(limits.tryStart(TEAM, ENTRIES, 0)).isZero();
		}
	}

	// All callers of a team use one of eight entries. With equal shares alone it would
	// get an eighth of the rate; the lent half raises it above that.
	@Test
	void theLentHalfFollowsTheDemand() {
		TeamLimits limits = new TeamLimits();
		LimitOwner owner = new LimitOwner();
		int started = 0;
		for (long nowMs = 0; nowMs < 20_000; nowMs += 5) {
			if (nowMs % LimitShares.RENEWAL_PERIOD_MS == 0) {
				double demand = limits.demandBeyondBase(TEAM, ENTRIES, nowMs);
				limits.grantLoan(TEAM.name(), owner.lend(TEAM.name(), RATE, "entry-1", demand, nowMs), nowMs);
			}
			started += (limits.tryStart(TEAM, ENTRIES, nowMs) == 0) ? 1 : 0;
		}
		assertThat(started / 20.0).isBetween(RATE * 0.45, RATE);
	}

	// Guards against a team exceeding its rate after each failure of an owner: an owner
	// crashes, or two entries consider themselves the owner for a while. The new one must
	// not lend what the old one has already lent.
	@Property(seed = "41")
	void theTeamStaysWithinItsRateWhenItsOwnerIsReplaced(@ForAll @IntRange(min = 1, max = 9) int replacedAtS,
			@ForAll @IntRange(min = 0, max = 1000) int seed) {
		Random random = new Random(seed);
		List<TeamLimits> entries = new ArrayList<>();
		for (int i = 0; i < ENTRIES; i++) {
			entries.add(new TeamLimits());
		}
		LimitOwner owner = new LimitOwner();
		double[] lent = new double[ENTRIES];
		long[] lentUntilMs = new long[ENTRIES];
		int started = 0;
		for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
			if (nowMs == replacedAtS * 1000L) {
				owner = new LimitOwner();
			}
			for (int i = 0; i < ENTRIES; i++) {
				TeamLimits entry = entries.get(i);
				if ((nowMs + 100L * i) % LimitShares.RENEWAL_PERIOD_MS == 0) {
					double demand = entry.demandBeyondBase(TEAM, ENTRIES, nowMs);
					lent[i] = owner.lend(TEAM.name(), RATE, "entry-" + i, demand, nowMs);
					lentUntilMs[i] = nowMs + LimitShares.LOAN_MS;
					entry.grantLoan(TEAM.name(), lent[i], nowMs);
					assertThat(validLoans(lent, lentUntilMs, nowMs)).isLessThanOrEqualTo(RATE / 2 + 1e-6);
				}
				if (random.nextInt(4) < 1 + i % 3) {
					started += (entry.tryStart(TEAM, ENTRIES, nowMs) == 0) ? 1 : 0;
				}
			}
		}
		// A bucket holds at most one second's worth, which may be added once.
		assertThat(started).isLessThanOrEqualTo((int) (RATE * 11) + ENTRIES);
	}

	private static double validLoans(double[] lent, long[] untilMs, long nowMs) {
		double sum = 0;
		for (int i = 0; i < lent.length; i++) {
			sum += (nowMs < untilMs[i]) ? lent[i] : 0;
		}
		return sum;
	}

	@Test
	void anEntryBelowItsBaseShareRequestsNoLoan() {
		TeamLimits limits = new TeamLimits();
		limits.tryStart(TEAM, ENTRIES, 0);
		assertThat(limits.demandBeyondBase(TEAM, ENTRIES, 1000)).isZero();
	}

}
