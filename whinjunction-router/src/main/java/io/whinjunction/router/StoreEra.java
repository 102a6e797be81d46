package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * The era of the platform's store. Validates each reply of the store against the current
 * era.
 * <p>
 * Guards against a store that was restored from an older copy of itself: a reply from
 * before the restore, or a reply to a query that names a revision from before it, must
 * not be taken for the current state of the store.
 * <p>
 * Invariants: the era never decreases; each later era that the store or a peer reports is
 * announced exactly once to the holders of state of the store, before the reply that
 * reported it is used. Confined to the event loop.
 */
public final class StoreEra {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The era of a reply that names none, or none that can be parsed. */
	public static final long UNSPECIFIED = -1;

	/** Minimum interval between log lines about ignored replies, in seconds. */
	private static final int IGNORED_LOG_INTERVAL_S = 5;

	private final List<Runnable> listeners = new ArrayList<>();

	private boolean known;

	private long current;

	/** The latest era reported by anyone, which has been announced to the listeners. */
	private long announced;

	/**
	 * Parses the era that a reply of the store names.
	 * @param value the text, or {@code null}
	 * @return the era, or {@link #UNSPECIFIED}
	 */
	public static long parse(String value) {
		if (value == null) {
			return UNSPECIFIED;
		}
		try {
			return Math.max(UNSPECIFIED, Long.parseLong(value.trim()));
		}
		catch (NumberFormatException ex) {
			logger.atWarning()
				.atMostEvery(IGNORED_LOG_INTERVAL_S, TimeUnit.SECONDS)
				.log("event=era-unreadable value=\"%s\"", value);
			return UNSPECIFIED;
		}
	}

	/**
	 * Returns the era of the newest reply.
	 * @return the era; 0 if the store has never named one
	 */
	public long current() {
		return this.current;
	}

	/**
	 * Returns whether the store names eras at all, and may therefore be restored from an
	 * older copy.
	 * @return {@code false} also before the first reply
	 */
	boolean known() {
		return this.known;
	}

	/**
	 * Registers a listener for later eras.
	 * @param listener run once for each later era, on the event loop
	 */
	void onRestore(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the era that applies to the content of a reply.
	 * @param namedEra the era that the reply names, or {@link #UNSPECIFIED}
	 * @return the era
	 */
	public long effectiveEra(long namedEra) {
		return (namedEra == UNSPECIFIED) ? this.current : namedEra;
	}

	/**
	 * Validates a reply of the store.
	 * @param query the era in which the query was sent, and whether its reply is valid in
	 * that era only
	 * @param namedEra the era that the reply names, or {@link #UNSPECIFIED}
	 * @param reply the reply apart from its era
	 * @param <T> the type of the result
	 * @return the reply if it may be used, otherwise one with the reason why not
	 */
	public <T> StoreReply<T> validate(Query query, long namedEra, StoreReply<T> reply) {
		if (namedEra == UNSPECIFIED && this.known) {
			logger.atWarning()
				.atMostEvery(IGNORED_LOG_INTERVAL_S, TimeUnit.SECONDS)
				.log("event=answer-without-era era=%d", this.current);
		}
		long replyEra = (namedEra == UNSPECIFIED) ? query.era() : namedEra;
		if (this.known && replyEra < this.current) {
			logger.atWarning()
				.atMostEvery(IGNORED_LOG_INTERVAL_S, TimeUnit.SECONDS)
				.log("event=answer-of-earlier-era era=%d current=%d", replyEra, this.current);
			return new StoreReply.Unavailable<>("reply of era " + replyEra + ", current era " + this.current);
		}
		if (namedEra != UNSPECIFIED) {
			advance(namedEra);
		}
		boolean outdated = query.bound() && replyEra != query.era();
		return (outdated && reply instanceof StoreReply.Found<T>) ? new StoreReply.Outdated<>() : reply;
	}

	/**
	 * Processes the era that a peer reports. It is announced to the listeners, but
	 * replies are validated only by the eras that the store itself names: a message that
	 * names an era which never existed would otherwise make all replies count as
	 * outdated.
	 * @param era the era that the peer received from the store
	 */
	void eraReceived(long era) {
		// Before the first reply of the store, this router holds no state that could be
		// outdated.
		if (this.known && era > this.announced) {
			announce(era, "router");
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
			this.announced = era;
		}
		else if (era > this.announced) {
			announce(era, "store");
		}
	}

	private void announce(long era, String source) {
		logger.atInfo().log("event=store-returned era=%d before=%d from=%s", era, this.announced, source);
		this.announced = era;
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Creates a query that is valid in any era: a read of the newest state.
	 * @return the query
	 */
	public Query unboundQuery() {
		return new Query(this.current, false);
	}

	/**
	 * Creates a query that names a revision, which another era may assign to a different
	 * state.
	 * @param era the era of that revision
	 * @return the query
	 */
	public Query boundQuery(long era) {
		return new Query(era, true);
	}

	/**
	 * The era of a query. Immutable.
	 *
	 * @param era the era in which it was sent
	 * @param bound whether its reply is valid in that era only
	 */
	public record Query(long era, boolean bound) {
	}

}
