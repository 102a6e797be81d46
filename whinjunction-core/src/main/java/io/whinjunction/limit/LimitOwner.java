package io.whinjunction.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Lends the half of a team's rate that is not in base shares.
 * <p>
 * Invariants: what is lent at any time sums up to at most the lendable rate; nothing is
 * lent during the first {@link LimitShares#LOAN_MS} of an ownership, so that what an
 * earlier owner lent has run out. Safe for all threads.
 */
public final class LimitOwner {

	private final Map<String, Book> books = new HashMap<>();

	/**
	 * Lends to one entry.
	 * @param team the team
	 * @param ratePerSecond the team's whole rate
	 * @param member the entry that asks
	 * @param demandPerSecond what the entry could use beyond its base share
	 * @param nowMs the time
	 * @return the rate lent for {@link LimitShares#LOAN_MS}; 0 for nothing
	 */
	public synchronized double lend(String team, double ratePerSecond, String member, double demandPerSecond,
			long nowMs) {
		Book book = this.books.computeIfAbsent(team, (name) -> new Book(nowMs));
		book.loans.values().removeIf((loan) -> nowMs - loan.atMs > LimitShares.LOAN_MS);
		double lendable = LimitShares.lendable(ratePerSecond);
		double others = 0;
		double othersDemand = 0;
		for (Map.Entry<String, Loan> loan : book.loans.entrySet()) {
			if (!loan.getKey().equals(member)) {
				others += loan.getValue().lent;
				othersDemand += loan.getValue().demand;
			}
		}
		double fair = lendable * demandPerSecond / Math.max(demandPerSecond + othersDemand, 1e-9);
		boolean settled = nowMs - book.ownedSinceMs >= LimitShares.LOAN_MS;
		double lent = settled ? Math.max(0, Math.min(Math.min(fair, demandPerSecond), lendable - others)) : 0;
		book.loans.put(member, new Loan(lent, demandPerSecond, nowMs));
		return lent;
	}

	/**
	 * Gives up teams that another entry owns now.
	 * @param team the team
	 */
	public synchronized void release(String team) {
		this.books.remove(team);
	}

	private static final class Book {

		private final long ownedSinceMs;

		private final Map<String, Loan> loans = new HashMap<>();

		Book(long ownedSinceMs) {
			this.ownedSinceMs = ownedSinceMs;
		}

	}

	private record Loan(double lent, double demand, long atMs) {
	}

}
