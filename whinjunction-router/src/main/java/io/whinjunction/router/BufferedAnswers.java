package io.whinjunction.router;

import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.memory.MemoryShare;

/**
 * Counts the bytes of answers that this process buffers: those of attempts that are not
 * passed on yet, and those that callers have not taken yet.
 * <p>
 * Guards against callers that read slowly, whose answers together fill the memory. While
 * many bytes are buffered, an answer is passed on as it arrives after its first bytes, so
 * that its upstream is read as fast as its caller reads. Confined to the event loop.
 */
final class BufferedAnswers {

	/**
	 * Answers up to this size are buffered completely before they are passed on, in
	 * bytes.
	 */
	private static final int MAX_ANSWER_BYTES = 262_144;

	/** The same while many bytes are buffered. */
	private static final int MIN_ANSWER_BYTES = 16_384;

	private final MemoryBudget budget;

	private long bytes;

	/**
	 * Creates a count of zero.
	 * @param budget the memory that callers may hold
	 */
	BufferedAnswers(MemoryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Returns how much of an answer may be buffered before it is passed on.
	 * @return bytes
	 */
	int limitBytes() {
		return this.budget.tight() ? MIN_ANSWER_BYTES : MAX_ANSWER_BYTES;
	}

	/**
	 * Returns how much is buffered.
	 * @return bytes
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Counts bytes that are buffered from now on.
	 * @param share the share of their caller
	 * @param count the bytes
	 */
	void add(MemoryShare share, long count) {
		this.bytes += count;
		share.add(MemoryShare.Use.ANSWERS, count);
	}

	/**
	 * Counts bytes that are not buffered any more.
	 * @param share the share of their caller
	 * @param count the bytes
	 */
	void remove(MemoryShare share, long count) {
		add(share, -count);
	}

}
