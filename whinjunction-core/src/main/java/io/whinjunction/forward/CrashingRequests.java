package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Finds requests that crash the upstreams that run them, and has them refused.
 * <p>
 * The load it answers: one request ends an upstream, is sent to the next one and ends
 * that too, and its caller sends it again under another id, through any router. The
 * others that run on these upstreams are cut each time, and go on where the same request
 * comes next.
 * <p>
 * What tells it from those others: they ran well before, or run well elsewhere. A request
 * is refused once {@link #MOST_CRASHES} upstreams have ended while it waited or began
 * there, as far as any router saw, and nothing shows that it can run; or
 * {@link #MOST_CRASHES_RUNNING} that had begun to run it and brought no result yet, which
 * happens to others by chance only. Since many callers may send the same request and some
 * disaster may end all upstreams at once, a refused one is tried again after a while,
 * once, by one router of the fleet.
 * <p>
 * Invariants: the end of an upstream counts once for a request, whoever tells of it, and
 * no longer once the upstream is seen to go on; no crash counts of a request that ran
 * well within {@link #HARMLESS_MS} before it or later; at most {@link #MOST_SUSPECTS}
 * requests are remembered, refused ones the longest. Times come from the caller of each
 * method and never go back. Not safe for threads: confined to the event loop.
 */
public final class CrashingRequests {

	/** Upstreams that may end under a request before it is refused. */
	public static final int MOST_CRASHES = 3;

	/** Those of them that had begun to run it and brought no result. */
	public static final int MOST_CRASHES_RUNNING = 2;

	/** A request that ran well is beyond suspicion for this long, in milliseconds. */
	static final long HARMLESS_MS = 60_000;

	/**
	 * What several routers tell of one upstream within this long is one crash, in
	 * milliseconds: it takes longer to start again, under whatever name.
	 */
	static final long SAME_CRASH_MS = 1000;

	/**
	 * An upstream that answers between these after it was taken for ended, in
	 * milliseconds, has not: what it had sent before is read by then, and no upstream
	 * starts again so soon.
	 */
	static final long SURVIVED_FROM_MS = 300;

	static final long SURVIVED_UNTIL_MS = 1500;

	/** That an upstream goes on is noted once in this long, in milliseconds. */
	private static final long SURVIVED_NOTED_MS = 100;

	/**
	 * A crash at which the request had not begun to run counts after this long, in
	 * milliseconds: an upstream that is in use and goes on is seen to by then.
	 */
	static final long SETTLED_MS = 600;

	/** A crash is remembered for this long, in milliseconds. */
	static final long REMEMBERED_MS = 1_800_000;

	/**
	 * A refused request is tried again after this long, in milliseconds, and after
	 * {@link #PAUSE_GROWTH} times as long for each further upstream that ends.
	 */
	static final long FIRST_PAUSE_MS = 60_000;

	static final int PAUSE_GROWTH = 10;

	/** Crashes beyond these change nothing: the pause outlasts the memory. */
	private static final int MOST_COUNTED = MOST_CRASHES + 2;

	static final int MOST_SUSPECTS = 2048;

	private static final int MOST_HARMLESS = 4096;

	private static final int MOST_UPSTREAMS = 1024;

	/** Bounds a message. */
	static final int MOST_TOLD = 48;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	/** News is told for this long, in milliseconds, until all routers have it. */
	static final long SPREAD_MS = 3000;

	/** The least recently changed in front. */
	private final Map<Long, Suspect> suspects = new LinkedHashMap<>();

	/** When requests ran well, by their fingerprints; the longest ago in front. */
	private final Map<Long, Long> ranWellAtMs = bounded(MOST_HARMLESS);

	/** When upstreams were last taken for ended, by their incarnations. */
	private final Map<String, Long> endedAtMs = bounded(MOST_UPSTREAMS);

	/** When upstreams that had been taken for ended were seen to go on. */
	private final Map<String, Long> survivedAtMs = bounded(MOST_UPSTREAMS);

	private static <K> Map<K, Long> bounded(int most) {
		return new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
				return size() > most;
			}

		};
	}

	/**
	 * Whether a request has to be refused.
	 * @param fingerprint the request
	 * @param nowMs the time
	 * @param triesAgain whether this router is the one that tries the request again
	 * @return why, or empty where it may be sent
	 */
	public Optional<Refusal> refusal(RequestFingerprint fingerprint, long nowMs, BooleanSupplier triesAgain) {
		Suspect suspect = this.suspects.get(fingerprint.value());
		if (suspect == null || !suspect.refused(nowMs)) {
			return Optional.empty();
		}
		long leftMs = suspect.pausedUntilMs(nowMs) - nowMs;
		if (leftMs <= 0 && triesAgain.getAsBoolean()) {
			suspect.triedAtMs = nowMs;
			return Optional.empty();
		}
		return Optional.of(new Refusal(suspect.counted(nowMs), Math.max(leftMs, SPREAD_MS)));
	}

	/**
	 * An upstream ended while a request began there.
	 * @param fingerprint the request
	 * @param upstream the upstream's incarnation
	 * @param running whether it had begun to run the request and brought no result
	 * @param nowMs the time
	 * @return how many upstreams ended under the request; 0 where it is beyond suspicion
	 */
	public int crashed(RequestFingerprint fingerprint, String upstream, boolean running, long nowMs) {
		return count(fingerprint.value(), new Crash(upstream, nowMs, running), nowMs);
	}

	/**
	 * An upstream sent something. The failure it guards against: one that resets some of
	 * its connections would look as if it ended each time.
	 * @param upstream the upstream's incarnation
	 * @param nowMs the time
	 */
	public void answered(String upstream, long nowMs) {
		Long endedAt = this.endedAtMs.get(upstream);
		if (endedAt == null) {
			return;
		}
		if (nowMs - endedAt >= SURVIVED_UNTIL_MS) {
			this.endedAtMs.remove(upstream);
		}
		else if (nowMs - this.survivedAtMs.getOrDefault(upstream, NEVER_MS) >= SURVIVED_NOTED_MS) {
			this.survivedAtMs.put(upstream, nowMs);
			this.suspects.values().forEach((suspect) -> suspect.crashes.removeIf(this::survived));
		}
	}

	private boolean survived(Crash crash) {
		long sinceMs = this.survivedAtMs.getOrDefault(crash.upstream(), NEVER_MS) - crash.atMs();
		return sinceMs >= SURVIVED_FROM_MS && sinceMs < SURVIVED_UNTIL_MS;
	}

	/**
	 * A request was answered, or ran for a while without harm.
	 * @param fingerprint the request
	 * @param nowMs the time
	 */
	public void ranWell(RequestFingerprint fingerprint, long nowMs) {
		ranWell(fingerprint.value(), nowMs, nowMs);
	}

	/**
	 * What other routers are told.
	 * @param nowMs the time
	 * @return what is refused and what has changed lately; refused ones first, then the
	 * latest changes
	 */
	public List<CrashHistory> historiesToSend(long nowMs) {
		forget(nowMs);
		if (this.suspects.isEmpty()) {
			return List.of();
		}
		return this.suspects.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().refused(nowMs) || nowMs - entry.getValue().changedAtMs < SPREAD_MS)
			.sorted(Comparator.comparing((Map.Entry<Long, Suspect> entry) -> !entry.getValue().refused(nowMs))
				.thenComparing((entry) -> -entry.getValue().changedAtMs))
			.limit(MOST_TOLD)
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
	 * Takes what another router tells.
	 * @param history what it knows of one request
	 * @param nowMs the time
	 */
	public void receive(CrashHistory history, long nowMs) {
		long fingerprint = history.fingerprint().value();
		if (history.ranWellAgeMs() >= 0 && history.ranWellAgeMs() < HARMLESS_MS) {
			ranWell(fingerprint, nowMs - history.ranWellAgeMs(), nowMs);
		}
		for (CrashHistory.Crash crash : history.crashes()) {
			if (crash.ageMs() >= 0 && crash.ageMs() < REMEMBERED_MS) {
				count(fingerprint, new Crash(crash.upstream(), nowMs - crash.ageMs(), crash.running()), nowMs);
			}
		}
		if (history.ranWellAgeMs() < 0 && !history.crashes().isEmpty() && this.ranWellAtMs.containsKey(fingerprint)) {
			// Whoever suspects it has not heard that it ran well.
			changed(fingerprint, this.suspects.getOrDefault(fingerprint, new Suspect()), nowMs);
		}
	}

	/**
	 * A request that routers before this one have found to crash upstreams.
	 * @param fingerprint the request
	 * @param nowMs the time
	 */
	public void restored(RequestFingerprint fingerprint, long nowMs) {
		Suspect suspect = this.suspects.computeIfAbsent(fingerprint.value(), (value) -> new Suspect());
		if (!suspect.refused(nowMs)) {
			suspect.restoredAtMs = nowMs;
			changed(fingerprint.value(), suspect, nowMs);
		}
	}

	/**
	 * Whether a request is refused, unless it is tried again.
	 * @param fingerprint the request
	 * @param nowMs the time
	 * @return whether it is
	 */
	public boolean isRefused(RequestFingerprint fingerprint, long nowMs) {
		Suspect suspect = this.suspects.get(fingerprint.value());
		return suspect != null && suspect.refused(nowMs);
	}

	/**
	 * How many requests are refused.
	 * @param nowMs the time
	 * @return the number
	 */
	public int refused(long nowMs) {
		return (int) this.suspects.values().stream().filter((suspect) -> suspect.refused(nowMs)).count();
	}

	/**
	 * Which requests are refused.
	 * @param nowMs the time
	 * @return their fingerprints
	 */
	public List<RequestFingerprint> refusedOnes(long nowMs) {
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
		this.endedAtMs.merge(crash.upstream(), crash.atMs(), Math::max);
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
		if (this.suspects.size() > MOST_SUSPECTS) {
			dropOne(nowMs);
		}
	}

	private void dropOne(long nowMs) {
		Iterator<Suspect> oldestFirst = this.suspects.values().iterator();
		while (oldestFirst.hasNext()) {
			if (!oldestFirst.next().refused(nowMs)) {
				oldestFirst.remove();
				return;
			}
		}
		this.suspects.remove(this.suspects.keySet().iterator().next());
	}

	private void forget(long nowMs) {
		this.suspects.values().removeIf((suspect) -> {
			suspect.clear(nowMs - REMEMBERED_MS);
			return !suspect.refused(nowMs) && suspect.crashes.isEmpty() && nowMs - suspect.changedAtMs >= SPREAD_MS;
		});
	}

	/**
	 * Why a request isn't sent. Immutable.
	 *
	 * @param crashes the upstreams that ended under it
	 * @param retryAfterMs when it may be tried again at the earliest, in milliseconds
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

	/** A request that was seen where an upstream ended; confined to the table. */
	private static final class Suspect {

		private final List<Crash> crashes = new ArrayList<>();

		/** When it was read that routers before this one refused it. */
		private long restoredAtMs = NEVER_MS;

		private long changedAtMs;

		private long triedAtMs = NEVER_MS;

		// Of copies of the request at one upstream, one that had begun to run says most.
		boolean add(Crash crash) {
			for (int index = 0; index < this.crashes.size(); index++) {
				Crash known = this.crashes.get(index);
				if (known.same(crash)) {
					boolean says = crash.running() && !known.running();
					this.crashes.set(index, says ? crash : known);
					return says;
				}
			}
			return this.crashes.size() < MOST_COUNTED && this.crashes.add(crash);
		}

		// What was restored counts as found just now, with as many crashes as it takes.
		int counted(long nowMs) {
			int counted = (int) this.crashes.stream().filter((crash) -> crash.counts(nowMs)).count();
			return (this.restoredAtMs != NEVER_MS) ? Math.max(MOST_CRASHES, counted) : counted;
		}

		boolean refused(long nowMs) {
			return counted(nowMs) >= MOST_CRASHES
					|| this.crashes.stream().filter(Crash::running).count() >= MOST_CRASHES_RUNNING;
		}

		boolean clear(long untilMs) {
			boolean restored = this.restoredAtMs != NEVER_MS && this.restoredAtMs <= untilMs;
			this.restoredAtMs = restored ? NEVER_MS : this.restoredAtMs;
			return this.crashes.removeIf((crash) -> crash.atMs() <= untilMs) || restored;
		}

		long pausedUntilMs(long nowMs) {
			long pauseMs = FIRST_PAUSE_MS;
			for (int more = MOST_CRASHES; more < counted(nowMs); more++) {
				pauseMs *= PAUSE_GROWTH;
			}
			long lastMs = this.crashes.stream().mapToLong(Crash::atMs).max().orElse(this.restoredAtMs);
			return Math.max(lastMs, this.triedAtMs) + pauseMs;
		}

	}

}
