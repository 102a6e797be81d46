package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Detects requests that crash the upstreams that run them, so that they are refused.
 * <p>
 * Load pattern: one request crashes an upstream, is sent to the next one and crashes that
 * one too, and its caller sends it again under another id through any router. Each crash
 * also cuts the other requests on that upstream, and these fail over to the upstreams
 * that the crashing request reaches next.
 * <p>
 * The other requests are distinguished from it because they ran successfully before, or
 * do so elsewhere. A request is refused once {@link #MAX_CRASHES} upstreams have crashed
 * while it was queued or starting there, as observed by any router, and nothing shows
 * that it can run; or once {@link #MAX_CRASHES_RUNNING} upstreams have crashed that had
 * begun to run it and had returned no result, which happens to other requests only by
 * chance. Since many callers may send the same request and one outage may stop all
 * upstreams at once, a refused request is retried after a pause, once, by one router of
 * the fleet.
 * <p>
 * Invariants: the crash of an upstream counts once for a request, whichever routers
 * report it, and no longer once the upstream is seen to be still running; no crash counts
 * for a request that ran successfully within {@link #HARMLESS_MS} before it or later; at
 * most {@link #MAX_SUSPECTS} requests are tracked, and refused ones are evicted last.
 * Times are passed in by the caller and never decrease. Not thread-safe: confined to the
 * event loop.
 */
public final class CrashingRequests {

	/** Number of upstreams that may crash under a request before it is refused. */
	public static final int MAX_CRASHES = 3;

	/**
	 * Number of those crashes at which the upstream had begun to run the request and had
	 * returned no result.
	 */
	public static final int MAX_CRASHES_RUNNING = 2;

	/**
	 * After a successful run a request is not suspected for this long, in milliseconds.
	 */
	static final long HARMLESS_MS = 60_000;

	/**
	 * Crashes of one upstream that several routers report within this interval are one
	 * crash, in milliseconds: an upstream takes longer to restart, under whatever name.
	 */
	static final long SAME_CRASH_MS = 1000;

	/**
	 * A crash at which the request had not begun to run counts after this delay, in
	 * milliseconds: an upstream that is in use and still running has sent data by then.
	 */
	static final long SETTLED_MS = 600;

	/** How long a crash is remembered, in milliseconds. */
	static final long RETENTION_MS = 1_800_000;

	/**
	 * A refused request is retried after this pause, in milliseconds. The pause is
	 * multiplied by {@link #PAUSE_FACTOR} for each further upstream that crashes.
	 */
	static final long FIRST_PAUSE_MS = 60_000;

	static final int PAUSE_FACTOR = 10;

	/**
	 * Further crashes change nothing: the pause then exceeds the retention period.
	 */
	private static final int MAX_COUNTED = MAX_CRASHES + 2;

	static final int MAX_SUSPECTS = 2048;

	private static final int MAX_HARMLESS = 4096;

	/** Bounds the size of a message to a peer. */
	static final int MAX_HISTORIES_SENT = 48;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	/**
	 * How long a change is sent to peers, in milliseconds, until all routers have
	 * received it.
	 */
	static final long PROPAGATION_MS = 3000;

	/** Least recently changed first. */
	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	/** Times of successful runs by request fingerprint; the oldest first. */
	private final Map<Long, Long> ranWellAtMs = UpstreamSurvival.bounded(MAX_HARMLESS);

	private final UpstreamSurvival survival = new UpstreamSurvival();

	/**
	 * Checks whether a request has to be refused.
	 * @param fingerprint the request
	 * @param nowMs the current time
	 * @param mayRetry whether this router is the one that retries the request
	 * @return the reason for the refusal, or empty if the request may be sent
	 */
	public Optional<Refusal> refusal(RequestFingerprint fingerprint, long nowMs, BooleanSupplier mayRetry) {
		Suspect suspect = this.suspects.get(fingerprint.value());
		if (suspect == null || !suspect.refused(nowMs)) {
			return Optional.empty();
		}
		long leftMs = suspect.pausedUntilMs(nowMs) - nowMs;
		if (leftMs <= 0 && mayRetry.getAsBoolean()) {
			suspect.triedAtMs = nowMs;
			return Optional.empty();
		}
		return Optional.of(new Refusal(suspect.countedCrashes(nowMs), Math.max(leftMs, PROPAGATION_MS)));
	}

	/**
	 * Records that an upstream crashed while a request was starting there.
	 * @param fingerprint the request
	 * @param upstream the incarnation of the upstream
	 * @param running whether it had begun to run the request and had returned no result
	 * @param nowMs the current time
	 * @return the number of upstreams that crashed under the request; 0 if it is not
	 * suspected
	 */
	public int crashed(RequestFingerprint fingerprint, String upstream, boolean running, long nowMs) {
		return count(fingerprint.value(), new Crash(upstream, nowMs, running), nowMs);
	}

	/**
	 * Records that an upstream sent data. Guards against counting a crash each time an
	 * upstream resets some of its connections.
	 * @param upstream the incarnation of the upstream
	 * @param nowMs the current time
	 */
	public void answered(String upstream, long nowMs) {
		if (this.survival.answered(upstream, nowMs)) {
			this.suspects.values().forEach((suspect) -> suspect.crashes.removeIf(this::survived));
		}
	}

	private boolean survived(Crash crash) {
		return this.survival.survived(crash.upstream(), crash.atMs());
	}

	/**
	 * Withdraws crashes that were assumed because connections ended for another reason.
	 * @param upstreams matches the incarnations of the upstreams concerned
	 * @param sinceMs withdraws crashes from this time on
	 */
	public void retract(Predicate<String> upstreams, long sinceMs) {
		this.suspects.values()
			.forEach((suspect) -> suspect.crashes
				.removeIf((crash) -> crash.atMs() >= sinceMs && upstreams.test(crash.upstream())));
		this.survival.retract(upstreams, sinceMs);
	}

	/**
	 * Records that a request was answered, or ran for some time without harm.
	 * @param fingerprint the request
	 * @param nowMs the current time
	 */
	public void ranWell(RequestFingerprint fingerprint, long nowMs) {
		ranWell(fingerprint.value(), nowMs, nowMs);
	}

	/**
	 * Returns the crash histories to send to peer routers.
	 * @param nowMs the current time
	 * @return refused requests and recent changes; refused ones first, then the latest
	 * changes
	 */
	public List<CrashHistory> historiesToSend(long nowMs) {
		removeExpired(nowMs);
		if (this.suspects.isEmpty()) {
			return List.of();
		}
		return this.suspects.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().refused(nowMs) || nowMs - entry.getValue().changedAtMs < PROPAGATION_MS)
			.sorted(Comparator.comparing((Map.Entry<Long, Suspect> entry) -> !entry.getValue().refused(nowMs))
				.thenComparing((entry) -> -entry.getValue().changedAtMs))
			.limit(MAX_HISTORIES_SENT)
			.map((entry) -> history(entry.getKey(), entry.getValue(), nowMs))
			.toList();
	}

	private CrashHistory history(long fingerprint, Suspect suspect, long nowMs) {
		List<CrashHistory.Crash> crashes = new ArrayList<>();
		suspect.crashes.forEach((crash) -> crashes
			.add(new CrashHistory.Crash(crash.upstream(), nowMs - crash.atMs(), crash.running())));
		Long wellAtMs = this.ranWellAtMs.get(fingerprint);
		return new CrashHistory(new RequestFingerprint(fingerprint), crashes,
				(wellAtMs != null) ? nowMs - wellAtMs : -1);
	}

	/**
	 * Merges a crash history received from a peer router.
	 * @param history the history of one request
	 * @param nowMs the current time
	 */
	public void receive(CrashHistory history, long nowMs) {
		long fingerprint = history.fingerprint().value();
		if (history.ranWellAgeMs() >= 0 && history.ranWellAgeMs() < HARMLESS_MS) {
			ranWell(fingerprint, nowMs - history.ranWellAgeMs(), nowMs);
		}
		for (CrashHistory.Crash crash : history.crashes()) {
			if (crash.ageMs() >= 0 && crash.ageMs() < RETENTION_MS) {
				count(fingerprint, new Crash(crash.upstream(), nowMs - crash.ageMs(), crash.running()), nowMs);
			}
		}
		if (history.ranWellAgeMs() < 0 && !history.crashes().isEmpty() && this.ranWellAtMs.containsKey(fingerprint)) {
			// The sender suspects the request and has not received that it ran
			// successfully.
			changed(fingerprint, this.suspects.getOrDefault(fingerprint, new Suspect()), nowMs);
		}
	}

	/**
	 * Restores a request that earlier routers found to crash upstreams.
	 * @param fingerprint the request
	 * @param nowMs the current time
	 */
	public void restored(RequestFingerprint fingerprint, long nowMs) {
		Suspect suspect = this.suspects.computeIfAbsent(fingerprint.value(), (value) -> new Suspect());
		if (!suspect.refused(nowMs)) {
			suspect.restoredAtMs = nowMs;
			changed(fingerprint.value(), suspect, nowMs);
		}
	}

	/**
	 * Returns whether a request is refused, unless it is being retried.
	 * @param fingerprint the request
	 * @param nowMs the current time
	 * @return whether it is refused
	 */
	public boolean isRefused(RequestFingerprint fingerprint, long nowMs) {
		Suspect suspect = this.suspects.get(fingerprint.value());
		return suspect != null && suspect.refused(nowMs);
	}

	/**
	 * Returns the number of refused requests.
	 * @param nowMs the current time
	 * @return the number
	 */
	public int refused(long nowMs) {
		return (int) this.suspects.values().stream().filter((suspect) -> suspect.refused(nowMs)).count();
	}

	/**
	 * Returns the refused requests.
	 * @param nowMs the current time
	 * @return their fingerprints
	 */
	public List<RequestFingerprint> refusedFingerprints(long nowMs) {
		return this.suspects.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().refused(nowMs))
			.map((entry) -> new RequestFingerprint(entry.getKey()))
			.toList();
	}

	private int count(long fingerprint, Crash crash, long nowMs) {
		Long wellAtMs = this.ranWellAtMs.get(fingerprint);
		if (survived(crash) || (wellAtMs != null && wellAtMs >= crash.atMs() - HARMLESS_MS)) {
			return 0;
		}
		this.survival.crashed(crash.upstream(), crash.atMs());
		Suspect suspect = this.suspects.getOrDefault(fingerprint, new Suspect());
		if (suspect.add(crash)) {
			changed(fingerprint, suspect, nowMs);
		}
		return suspect.crashes.size();
	}

	private void ranWell(long fingerprint, long atMs, long nowMs) {
		Long before = this.ranWellAtMs.get(fingerprint);
		if (before != null && before >= atMs) {
			return;
		}
		this.ranWellAtMs.remove(fingerprint);
		this.ranWellAtMs.put(fingerprint, atMs);
		Suspect suspect = this.suspects.get(fingerprint);
		if (suspect != null && suspect.clear(atMs + HARMLESS_MS)) {
			changed(fingerprint, suspect, nowMs);
		}
	}

	private void changed(long fingerprint, Suspect suspect, long nowMs) {
		suspect.changedAtMs = nowMs;
		this.suspects.remove(fingerprint);
		this.suspects.put(fingerprint, suspect);
		if (this.suspects.size() > MAX_SUSPECTS) {
			evictOne(nowMs);
		}
	}

	private void evictOne(long nowMs) {
		Iterator<Suspect> oldestFirst = this.suspects.values().iterator();
		while (oldestFirst.hasNext()) {
			if (!oldestFirst.next().refused(nowMs)) {
				oldestFirst.remove();
				return;
			}
		}
		this.suspects.remove(this.suspects.keySet().iterator().next());
	}

	private void removeExpired(long nowMs) {
		this.suspects.values().removeIf((suspect) -> {
			suspect.clear(nowMs - RETENTION_MS);
			return !suspect.refused(nowMs) && suspect.crashes.isEmpty()
					&& nowMs - suspect.changedAtMs >= PROPAGATION_MS;
		});
	}

	/**
	 * Reason why a request is not sent. Immutable.
	 *
	 * @param crashes the number of upstreams that crashed under it
	 * @param retryAfterMs the time until it may be retried at the earliest, in
	 * milliseconds
	 */
	public record Refusal(int crashes, long retryAfterMs) {
	}

	private record Crash(String upstream, long atMs, boolean running) {

		boolean same(Crash other) {
			return this.upstream.equals(other.upstream) && Math.abs(this.atMs - other.atMs) < SAME_CRASH_MS;
		}

		boolean counts(long nowMs) {
			return this.running || nowMs - this.atMs >= SETTLED_MS;
		}

	}

	/**
	 * A request that was present at the crash of an upstream; confined to the enclosing
	 * object.
	 */
	private static final class Suspect {

		private final List<Crash> crashes = new ArrayList<>();

		/** Time at which a refusal by earlier routers was read. */
		private long restoredAtMs = NEVER_MS;

		private long changedAtMs;

		private long triedAtMs = NEVER_MS;

		// Of several copies of the request at one upstream, a copy that had begun to
		// run carries the most evidence.
		boolean add(Crash crash) {
			for (int index = 0; index < this.crashes.size(); index++) {
				Crash known = this.crashes.get(index);
				if (known.same(crash)) {
					boolean more = crash.running() && !known.running();
					this.crashes.set(index, more ? crash : known);
					return more;
				}
			}
			return this.crashes.size() < MAX_COUNTED && this.crashes.add(crash);
		}

		// A restored refusal counts as found when it was read, with the minimum
		// number of crashes.
		int countedCrashes(long nowMs) {
			int counted = (int) this.crashes.stream().filter((crash) -> crash.counts(nowMs)).count();
			return (this.restoredAtMs != NEVER_MS) ? Math.max(MAX_CRASHES, counted) : counted;
		}

		boolean refused(long nowMs) {
			return countedCrashes(nowMs) >= MAX_CRASHES
					|| this.crashes.stream().filter(Crash::running).count() >= MAX_CRASHES_RUNNING;
		}

		boolean clear(long untilMs) {
			boolean restored = this.restoredAtMs != NEVER_MS && this.restoredAtMs <= untilMs;
			this.restoredAtMs = restored ? NEVER_MS : this.restoredAtMs;
			return this.crashes.removeIf((crash) -> crash.atMs() <= untilMs) || restored;
		}

		long pausedUntilMs(long nowMs) {
			long pauseMs = FIRST_PAUSE_MS;
			for (int more = MAX_CRASHES; more < countedCrashes(nowMs); more++) {
				pauseMs *= PAUSE_FACTOR;
			}
			long lastMs = this.crashes.stream().mapToLong(Crash::atMs).max().orElse(this.restoredAtMs);
			return Math.max(lastMs, this.triedAtMs) + pauseMs;
		}

	}

}
