package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * The era of the platform's store, and what an answer is worth by the era that it is of.
 * <p>
 * The failure it guards against: the store comes back from an older copy of itself, and
 * an answer of before, or one to a question that was asked by a revision of before, is
 * taken for what the store holds now.
 * <p>
 * Invariants: the era never goes down; each later one that the store or another router
 * names is told once to whoever keeps state of the store, before the answer that brought
 * it is used. Confined to the event loop.
 */
public final class StoreEra {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** An answer that doesn't say its era, or not in a way that can be read. */
	public static final long UNSPECIFIED = -1;

	/** The pause between two lines about answers that are passed over, in seconds. */
	private static final int PASSED_OVER_LOG_S = 5;

	private final List<Runnable> listeners = new ArrayList<>();

	private boolean known;

	private long current;

	/** The latest era that anybody told of, which holders of state have heard of. */
	private long told;

	/**
	 * The era of the newest answer.
	 * @return the era; 0 where the store has never said one
	 */
	public long current() {
		return this.current;
	}

	/**
	 * Whether the store says eras at all, so that it may come back.
	 * @return {@code false} also before the first answer
	 */
	boolean known() {
		return this.known;
	}

	/**
	 * Hears of each later era.
	 * @param listener is run once for each, on the event loop
	 */
	void onRestore(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * The era of what an answer holds.
	 * @param saidEra what it says, or {@link #UNSPECIFIED}
	 * @return the era
	 */
	public long effectiveEra(long saidEra) {
		return (saidEra == UNSPECIFIED) ? this.current : saidEra;
	}

	/**
	 * Takes an answer of the store.
	 * @param question under which era it was asked, and whether it makes sense there only
	 * @param saidEra the era that the answer says, or {@link #UNSPECIFIED}
	 * @param reply what it says beside that
	 * @param <T> what was asked for
	 * @return what may be used of it
	 */
	public <T> StoreReply<T> validate(Query question, long saidEra, StoreReply<T> reply) {
		if (saidEra == UNSPECIFIED && this.known) {
			logger.atWarning()
				.atMostEvery(PASSED_OVER_LOG_S, TimeUnit.SECONDS)
				.log("event=answer-without-era era=%d", this.current);
		}
		long answerEra = (saidEra == UNSPECIFIED) ? question.era() : saidEra;
		if (this.known && answerEra < this.current) {
			logger.atWarning()
				.atMostEvery(PASSED_OVER_LOG_S, TimeUnit.SECONDS)
				.log("event=answer-of-earlier-era era=%d current=%d", answerEra, this.current);
			return new StoreReply.Unavailable<>("of era " + answerEra + ", now " + this.current);
		}
		if (saidEra != UNSPECIFIED) {
			advance(saidEra);
		}
		boolean outlived = question.bound() && answerEra != question.era();
		return (outlived && reply instanceof StoreReply.Found<T>) ? new StoreReply.Outdated<>() : reply;
	}

	/**
	 * Hears of an era from another router. Answers are judged by what the store says
	 * itself: a message that names an era which never was would make all of them late.
	 * @param era the era that it has from the store
	 */
	void eraReceived(long era) {
		// Without an answer of the store this router has nothing that could be outlived.
		if (this.known && era > this.told) {
			tell(era, "router");
		}
	}

	private void advance(long era) {
		if (this.known && era <= this.current) {
			return;
		}
		boolean first = !this.known;
		this.known = true;
		this.current = era;
		if (first) {
			logger.atInfo().log("event=store-era era=%d", era);
			this.told = era;
		}
		else if (era > this.told) {
			tell(era, "store");
		}
	}

	private void tell(long era, String source) {
		logger.atInfo().log("event=store-returned era=%d before=%d from=%s", era, this.told, source);
		this.told = era;
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Begins a question that makes sense under any era: a read of the newest state.
	 * @return the question
	 */
	public Query unboundQuery() {
		return new Query(this.current, false);
	}

	/**
	 * Begins a question that names a revision, which another era gives to something else.
	 * @param era the era of that revision
	 * @return the question
	 */
	public Query boundQuery(long era) {
		return new Query(era, true);
	}

	/**
	 * What matters of a question. Immutable.
	 *
	 * @param era the era under which it was asked
	 * @param bound whether its answer makes sense in that era only
	 */
	public record Query(long era, boolean bound) {
	}

}
