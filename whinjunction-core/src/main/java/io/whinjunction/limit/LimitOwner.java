package io.whinjunction.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Lends the half of a team's rate that is not distributed as base shares.
 * <p>
 * Invariants: the outstanding loans add up to at most the lendable rate. Nothing is lent
 * during the first {@link LimitShares#LOAN_MS} of an ownership, by which time all loans
 * of the previous owner have expired. Thread-safe.
 */
public final class LimitOwner {

	private final Map<String, TeamLoans> loansByTeam = new HashMap<>();

	/**
	 * Grants, renews or ends the loan of one entry.
	 * @param team the team
	 * @param ratePerSecond the team's total rate
	 * @param member the requesting entry
	 * @param demandPerSecond what the entry could use beyond its base share
	 * @param nowMs the time
	 * @return the rate lent for {@link LimitShares#LOAN_MS}; 0 if nothing is lent
	 */
	public synchronized double lend(String team, double ratePerSecond, String member, double demandPerSecond,
			long nowMs) {
		TeamLoans teamLoans = this.loansByTeam.computeIfAbsent(team, (name) -> new TeamLoans(nowMs));
		teamLoans.loans.values().removeIf((loan) -> nowMs - loan.atMs > LimitShares.LOAN_MS);
		double lendable = LimitShares.lendable(ratePerSecond);
		double others = 0;
		double othersDemand = 0;
		for (Map.Entry<String, Loan> loan : teamLoans.loans.entrySet()) {
			if (!loan.getKey().equals(member)) {
				others += loan.getValue().lent;
				othersDemand += loan.getValue().demand;
			}
		}
		double fair = lendable * demandPerSecond / Math.max(demandPerSecond + othersDemand, 1e-9);
		boolean settled = nowMs - teamLoans.ownedSinceMs >= LimitShares.LOAN_MS;
		double lent = settled ? Math.max(0, Math.min(Math.min(fair, demandPerSecond), lendable - others)) : 0;
		teamLoans.loans.put(member, new Loan(lent, demandPerSecond, nowMs));
		return lent;
	}

	/**
	 * Releases a team that is now owned by another entry.
	 * @param team the team
	 */
	public synchronized void release(String team) {
		this.loansByTeam.remove(team);
	}

	private static final class TeamLoans {

		private final long ownedSinceMs;

		private final Map<String, Loan> loans = new HashMap<>();

		TeamLoans(long ownedSinceMs) {
			this.ownedSinceMs = ownedSinceMs;
		}

	}

	private record Loan(double lent, double demand, long atMs) {
	}

}
