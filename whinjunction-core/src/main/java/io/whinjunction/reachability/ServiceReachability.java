package io.whinjunction.reachability;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides for one service whether a router is cut off from its upstreams.
 * <p>
 * A router that loses its paths observes the same as one whose upstreams all end at once:
 * connections are refused, time out, break off or fall silent. Two things tell these
 * apart. While single upstreams end, others are reached. When all of them end, no other
 * router reaches one any more.
 * <p>
 * Open connections and new ones are told apart, since either may work while the other
 * does not: data that is received disproves a silence, only a new connection disproves
 * that none can be made.
 * <p>
 * Invariants: an upstream that is not reached is no evidence once another one of the
 * service was reached in the same way, until it is reached itself again; a router is
 * found to be cut off only if a peer reached an upstream {@link #CONTACT_MARGIN_MS} after
 * that. Times are passed in by the caller and never decrease. Not thread-safe: confined
 * to the event loop.
 */
public final class ServiceReachability {

	/**
	 * The number of upstreams that are not reached from which a router doubts its own
	 * paths; fewer if the service has fewer.
	 */
	static final int MIN_UPSTREAMS = 2;

	/**
	 * How long peers have to report that they reach an upstream, in milliseconds, until
	 * all upstreams are considered lost: several exchanges of statuses.
	 */
	static final long CONFIRM_MS = 1000;

	/**
	 * A contact of a peer counts if it is later than the evidence by this, in
	 * milliseconds: the age of a contact is known only up to the delay of the status.
	 */
	static final long CONTACT_MARGIN_MS = 50;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	/** When the first of a row of failed attempts to connect began, by upstream. */
	private final Map<String, Long> unconnectedSinceMs = new HashMap<>();

	/** Since when upstreams send nothing over open connections, by upstream. */
	private final Map<String, Long> silentSinceMs = new HashMap<>();

	/**
	 * Upstreams that were not reached while others were, and have not been reached since.
	 */
	private final Set<String> failedAlone = new HashSet<>();

	private long connectedAtMs = NEVER_MS;

	private long heardAtMs = NEVER_MS;

	private long peerContactAtMs = NEVER_MS;

	private long doubtfulSinceMs = NEVER_MS;

	private long evidenceSinceMs = NEVER_MS;

	/**
	 * Records that a connection to an upstream was made.
	 * @param upstream the incarnation of the upstream
	 * @param nowMs the current time
	 */
	public void connected(String upstream, long nowMs) {
		this.connectedAtMs = nowMs;
		this.unconnectedSinceMs.remove(upstream);
		this.failedAlone.addAll(this.unconnectedSinceMs.keySet());
		heard(upstream, nowMs);
	}

	/**
	 * Records that no connection to an upstream could be made.
	 * @param upstream the incarnation of the upstream
	 * @param startedMs when the attempt began
	 */
	public void connectFailed(String upstream, long startedMs) {
		this.unconnectedSinceMs.putIfAbsent(upstream, startedMs);
		if (startedMs < this.connectedAtMs) {
			this.failedAlone.add(upstream);
		}
	}

	/**
	 * Records that data of an upstream was received.
	 * @param upstream the incarnation of the upstream
	 * @param nowMs the current time
	 */
	public void heard(String upstream, long nowMs) {
		this.heardAtMs = nowMs;
		if (!this.unconnectedSinceMs.containsKey(upstream)) {
			this.failedAlone.remove(upstream);
		}
		if (!this.silentSinceMs.isEmpty()) {
			this.silentSinceMs.remove(upstream);
			this.silentSinceMs.entrySet().removeIf((silence) -> {
				boolean before = silence.getValue() < nowMs;
				if (before) {
					this.failedAlone.add(silence.getKey());
				}
				return before;
			});
		}
	}

	/**
	 * Records that an upstream did not reply, or that an open connection to it broke off.
	 * @param upstream the incarnation of the upstream
	 * @param sinceMs when it was queried, or when the connection broke off
	 */
	public void silent(String upstream, long sinceMs) {
		if (sinceMs >= this.heardAtMs) {
			this.silentSinceMs.putIfAbsent(upstream, sinceMs);
		}
		else {
			this.failedAlone.add(upstream);
		}
	}

	/**
	 * Records that another router reaches upstreams.
	 * @param atMs when it last reached one, at the latest
	 */
	public void peerContact(long atMs) {
		this.peerContactAtMs = Math.max(this.peerContactAtMs, atMs);
	}

	/**
	 * Drops the evidence against upstreams that are gone.
	 * @param known matches the incarnations that still exist
	 */
	public void retain(Predicate<String> known) {
		Predicate<String> gone = known.negate();
		this.unconnectedSinceMs.keySet().removeIf(gone);
		this.silentSinceMs.keySet().removeIf(gone);
		this.failedAlone.removeIf(gone);
	}

	/**
	 * Returns whether the last attempt to connect to an upstream failed.
	 * @param upstream the incarnation of the upstream
	 * @return {@code true} until a connection to it is made
	 */
	public boolean unconnected(String upstream) {
		return this.unconnectedSinceMs.containsKey(upstream);
	}

	/**
	 * Returns the upstreams to which the last attempt to connect failed.
	 * @return their incarnations
	 */
	public Set<String> unconnected() {
		return Set.copyOf(this.unconnectedSinceMs.keySet());
	}

	/**
	 * Returns when the last upstream became one to which no connection can be made.
	 * @return when the first failed attempt to connect to it began; empty if the last
	 * attempt to connect to each upstream succeeded
	 */
	public OptionalLong unconnectedSinceMs() {
		return this.unconnectedSinceMs.values().stream().mapToLong(Long::longValue).max();
	}

	/**
	 * Returns the upstreams that are evidence of a lost path: those that are not reached
	 * since others were last reached.
	 * @return their incarnations
	 */
	public Set<String> evidence() {
		Set<String> evidence = new HashSet<>(this.unconnectedSinceMs.keySet());
		evidence.addAll(this.silentSinceMs.keySet());
		evidence.removeAll(this.failedAlone);
		return evidence;
	}

	/**
	 * Decides whether the router reaches the service.
	 * @param upstreams the number of upstreams of the service
	 * @param elsewhere the number of upstreams of other services that are
	 * {@link #evidence}
	 * @param nowMs the current time
	 * @return the decision
	 */
	public Reachability judge(int upstreams, int elsewhere, long nowMs) {
		Set<String> evidence = evidence();
		int needed = Math.clamp(upstreams - this.failedAlone.size(), 1, MIN_UPSTREAMS);
		if (evidence.isEmpty() || (evidence.size() < needed && evidence.size() + elsewhere < MIN_UPSTREAMS)) {
			this.doubtfulSinceMs = NEVER_MS;
			return Reachability.REACHED;
		}
		if (this.doubtfulSinceMs == NEVER_MS) {
			this.doubtfulSinceMs = nowMs;
			this.evidenceSinceMs = evidence.stream().mapToLong(this::notReachedSinceMs).min().orElse(nowMs);
		}
		if (this.peerContactAtMs >= this.evidenceSinceMs + CONTACT_MARGIN_MS) {
			return Reachability.CUT_OFF;
		}
		return (nowMs - this.doubtfulSinceMs < CONFIRM_MS) ? Reachability.DOUBTFUL : Reachability.LOST;
	}

	private long notReachedSinceMs(String upstream) {
		return Math.min(this.unconnectedSinceMs.getOrDefault(upstream, Long.MAX_VALUE),
				this.silentSinceMs.getOrDefault(upstream, Long.MAX_VALUE));
	}

	/**
	 * Returns since when upstreams are not reached.
	 * @return when the evidence of the last judgement began, if it was not
	 * {@link Reachability#REACHED}
	 */
	public long evidenceSinceMs() {
		return this.evidenceSinceMs;
	}

	/**
	 * Returns the time since an upstream was last reached in any way.
	 * @param nowMs the current time
	 * @return milliseconds; -1 if none was reached yet
	 */
	public long contactAgeMs(long nowMs) {
		return (this.heardAtMs == NEVER_MS) ? -1 : nowMs - this.heardAtMs;
	}

}
