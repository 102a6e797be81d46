package io.whinjunction.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * The retries to one service that other routers lend to this one.
 * <p>
 * Invariants: a question is answered at most once, and only within the validity, which
 * begins when it is asked; each answer gives at most one retry, which is used within the
 * same time. The lender, which counts the loan after the question was asked, thus counts
 * it for a whole window after its use, also if messages are lost, late or duplicated. The
 * numbers of questions are random, so that an answer to a predecessor of this process is
 * not accepted. Time is that of a clock that counts suspensions. Not thread-safe:
 * confined to the event loop.
 */
public final class BorrowedRetries {

	/** Bounds the memory; more streams than these share the answers. */
	private static final int MAX_QUESTIONS = 32;

	private final long validityMs;

	private final RandomGenerator random;

	/** When the unanswered questions were asked, by their numbers. */
	private final Map<Long, Long> askedAtMs = new HashMap<>();

	/** When the questions were asked whose retries are not used yet. */
	private final Deque<Long> lentAskedAtMs = new ArrayDeque<>();

	/**
	 * Creates the retries without any.
	 * @param validityMs the time from a question to the use of the retry, in milliseconds
	 * @param random the source of the numbers of questions
	 */
	public BorrowedRetries(long validityMs, RandomGenerator random) {
		this.validityMs = validityMs;
		this.random = random;
	}

	/**
	 * Records a question that is about to be sent.
	 * @param nowMs the current time
	 * @return the number of the question; empty if too many are unanswered
	 */
	public OptionalLong ask(long nowMs) {
		this.askedAtMs.values().removeIf((askedMs) -> !valid(askedMs, nowMs));
		if (this.askedAtMs.size() >= MAX_QUESTIONS) {
			return OptionalLong.empty();
		}
		long number = this.random.nextLong();
		this.askedAtMs.put(number, nowMs);
		return OptionalLong.of(number);
	}

	/**
	 * Records the answer to a question.
	 * @param number the number of the question
	 * @param lent whether a retry is lent
	 * @param nowMs the current time
	 * @return whether a retry can be used now that could not before
	 */
	public boolean answered(long number, boolean lent, long nowMs) {
		Long askedMs = this.askedAtMs.remove(number);
		if (askedMs == null || !lent || !valid(askedMs, nowMs)) {
			return false;
		}
		this.lentAskedAtMs.add(askedMs);
		return true;
	}

	/**
	 * Uses a retry if a valid one is left.
	 * @param nowMs the current time
	 * @return whether the retry is granted
	 */
	public boolean use(long nowMs) {
		this.lentAskedAtMs.removeIf((askedMs) -> !valid(askedMs, nowMs));
		return this.lentAskedAtMs.poll() != null;
	}

	private boolean valid(long askedMs, long nowMs) {
		return nowMs - askedMs < this.validityMs;
	}

}
