package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Detects parts of prompts that crash the upstreams that run them, so that requests with
 * such a part are refused, whatever else they hold.
 * <p>
 * Load pattern: requests of many callers share one part of their prompts, no two of them
 * are alike, and each crashes the upstream that begins to answer it. Each crash also cuts
 * the other requests on that upstream, so all of their parts are candidates.
 * <p>
 * The part that is to blame was present at each crash, and no request with it runs
 * successfully. Crashes of upstreams that end at the same time are one event, whatever
 * its cause: a crash counts for a part if the request was sent after the previous counted
 * crash. A part is refused once {@link #MAX_CRASHES} such crashes had begun to answer a
 * request with it, or {@link #MAX_CRASHES_KNOWN} if requests with it ran successfully
 * before; or once {@link #MAX_CRASHES_NOT_BEGUN} upstreams crashed in any state. At least
 * {@link #MIN_REQUESTS} different requests must be involved: a single one is the matter
 * of {@link CrashingRequests}.
 * <p>
 * Where other parts explain the crashes equally well, only requests that hold two of
 * these parts are refused, and none where there are many: what ends many upstreams for
 * another reason cuts requests with all kinds of parts. The next crash, or the next
 * request that runs successfully, decides which part is to blame.
 * <p>
 * Invariants: one crash of an upstream counts once for a part, whichever routers report
 * it, and no longer once the upstream is seen to be still running; no crash counts that
 * is earlier than the start of a request with the part that ran successfully; at most
 * {@link #MAX_SUSPECTS} parts are tracked, and refused ones are evicted last. Times are
 * passed in by the caller and never decrease. Not thread-safe: confined to the event
 * loop.
 */
public final class CrashingParts {

	/**
	 * Number of upstreams that may crash after they began to answer requests with a part
	 * before it is refused.
	 */
	public static final int MAX_CRASHES = 3;

	/** The same for a part with which requests ran successfully before. */
	static final int MAX_CRASHES_KNOWN = 4;

	/** The same if the upstreams crashed in any state. */
	static final int MAX_CRASHES_NOT_BEGUN = 5;

	static final int MIN_REQUESTS = 2;

	/**
	 * The time over which crashes in any state are spread at least, in milliseconds:
	 * routers notice the crash of upstreams that end at once within this time.
	 */
	static final long MIN_SPREAD_MS = 600;

	/**
	 * The time over which all crashes of a part are spread at least with which requests
	 * ran successfully before, in milliseconds: a request that was sent after the first
	 * crash runs successfully in less time, if any upstream is left.
	 */
	static final long MIN_SPREAD_KNOWN_MS = 1500;

	/** How long a successful run is taken into account, in milliseconds. */
	static final long KNOWN_MS = 600_000;

	/**
	 * Crashes of one upstream that several routers report within this interval are one
	 * crash, in milliseconds.
	 */
	private static final long SAME_CRASH_MS = CrashingRequests.SAME_CRASH_MS;

	/** How long crashes that led to no verdict are remembered, in milliseconds. */
	static final long SUSPECT_RETENTION_MS = CrashingRequests.RETENTION_MS;

	/** How long a verdict is remembered after the last crash, in milliseconds. */
	static final long VERDICT_RETENTION_MS = 86_400_000;

	/**
	 * How often requests with a refused part are sent, to check whether it still crashes.
	 */
	static final int MAX_RETRIES = 3;

	static final int MAX_SUSPECTS = 1024;

	private static final int MAX_KNOWN = 4096;

	/** Bounds the memory of a part and the size of its history in a message. */
	static final int MAX_RECORDS = 8;

	/** Bounds the size of a message to a peer. */
	static final int MAX_HISTORIES_SENT = 16;

	/** With more alternatives, the crashes are assumed to have another reason. */
	private static final int MAX_ALTERNATIVES = 4;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	/** How long a change is sent to peers, in milliseconds. */
	static final long PROPAGATION_MS = CrashingRequests.PROPAGATION_MS;

	/** Least recently changed first. */
	private final Map<PromptPart, Suspect> suspects = new LinkedHashMap<>();

	/**
	 * Latest start of a request that ran successfully, by part; the least recently
	 * recorded first.
	 */
	private final Map<PromptPart, Long> ranWellAtMs = UpstreamSurvival.bounded(MAX_KNOWN);

	private final UpstreamSurvival survival = new UpstreamSurvival();

	/** Counts changes of the suspects, on which the alternatives of a part depend. */
	private long changes;

	/**
	 * Checks whether a request has to be refused.
	 * @param parts the shared parts of its prompt
	 * @param nowMs the current time
	 * @param mayRetry whether this router is the one that retries requests with a part
	 * @return the reason for the refusal, or empty if the request may be sent
	 */
	public Optional<Refusal> refusal(Collection<PromptPart> parts, long nowMs, Predicate<PromptPart> mayRetry) {
		Optional<PromptPart> found = refusedPart(parts, nowMs);
		if (found.isEmpty()) {
			return Optional.empty();
		}
		Suspect suspect = this.suspects.get(found.get());
		long leftMs = suspect.pausedUntilMs() - nowMs;
		if (leftMs <= 0 && mayRetry.test(found.get())) {
			suspect.triedAtMs = nowMs;
			return Optional.empty();
		}
		return Optional.of(new Refusal(found.get(), suspect.upstreams(), Math.max(leftMs, PROPAGATION_MS)));
	}

	/**
	 * Returns the part because of which a request is refused, unless it is being retried.
	 * @param parts the shared parts of its prompt
	 * @param nowMs the current time
	 * @return the part, or empty if the request is not refused
	 */
	public Optional<PromptPart> refusedPart(Collection<PromptPart> parts, long nowMs) {
		if (this.suspects.isEmpty()) {
			return Optional.empty();
		}
		return parts.stream().filter((part) -> {
			Suspect suspect = this.suspects.get(part);
			if (suspect == null || !condemned(part, suspect)) {
				return false;
			}
			Set<PromptPart> alternatives = alternatives(part, suspect);
			return alternatives.isEmpty() || parts.stream().anyMatch(alternatives::contains);
		}).findFirst();
	}

	/**
	 * Records that an upstream crashed while a request was starting there.
	 * @param request the request
	 * @param parts the shared parts of its prompt
	 * @param crash the crash
	 * @param nowMs the current time
	 */
	public void crashed(RequestFingerprint request, Collection<PromptPart> parts, Crash crash, long nowMs) {
		parts.forEach((part) -> add(part, new Record(crash, request), nowMs));
	}

	/**
	 * Records that an upstream sent data.
	 * @param upstream the incarnation of the upstream
	 * @param nowMs the current time
	 */
	public void answered(String upstream, long nowMs) {
		if (this.survival.answered(upstream, nowMs)) {
			removeCrashes((crash) -> this.survival.survived(crash.upstream(), crash.atMs()));
		}
	}

	/**
	 * Withdraws crashes that were assumed because connections ended for another reason.
	 * @param upstreams matches the incarnations of the upstreams concerned
	 * @param sinceMs withdraws crashes from this time on
	 */
	public void retract(Predicate<String> upstreams, long sinceMs) {
		removeCrashes((crash) -> crash.atMs() >= sinceMs && upstreams.test(crash.upstream()));
		this.survival.retract(upstreams, sinceMs);
	}

	private void removeCrashes(Predicate<Crash> matching) {
		this.changes++;
		this.suspects.values()
			.forEach((suspect) -> suspect.records.removeIf((candidate) -> matching.test(candidate.crash())));
	}

	/**
	 * Records that a request was answered, or ran for some time without harm.
	 * @param parts the shared parts of its prompt
	 * @param begunAtMs when the upstream began to answer it
	 * @param nowMs the current time
	 */
	public void ranWell(Collection<PromptPart> parts, long begunAtMs, long nowMs) {
		parts.forEach((part) -> ranWell(part, begunAtMs, nowMs));
	}

	private void ranWell(PromptPart part, long begunAtMs, long nowMs) {
		Long before = this.ranWellAtMs.remove(part);
		this.ranWellAtMs.put(part, (before != null) ? Math.max(before, begunAtMs) : begunAtMs);
		Suspect suspect = this.suspects.get(part);
		if (suspect == null) {
			return;
		}
		this.changes++;
		if (suspect.clear(begunAtMs)) {
			changed(part, suspect, nowMs);
		}
	}

	/**
	 * Returns the crash histories to send to peer routers.
	 * @param nowMs the current time
	 * @return refused parts and recent changes; refused ones first, then those with the
	 * most crashes
	 */
	public List<PartHistory> historiesToSend(long nowMs) {
		removeExpired(nowMs);
		if (this.suspects.isEmpty()) {
			return List.of();
		}
		return this.suspects.entrySet()
			.stream()
			.filter((entry) -> condemned(entry.getKey(), entry.getValue())
					|| nowMs - entry.getValue().changedAtMs < PROPAGATION_MS)
			.sorted(Comparator
				.comparing((Map.Entry<PromptPart, Suspect> entry) -> !condemned(entry.getKey(), entry.getValue()))
				.thenComparing((entry) -> -entry.getValue().upstreams())
				.thenComparing((entry) -> -entry.getValue().changedAtMs))
			.limit(MAX_HISTORIES_SENT)
			.map((entry) -> history(entry.getKey(), entry.getValue(), nowMs))
			.toList();
	}

	private PartHistory history(PromptPart part, Suspect suspect, long nowMs) {
		List<PartHistory.Crash> crashes = suspect.records.stream()
			.map((candidate) -> new PartHistory.Crash(candidate.crash().upstream(), nowMs - candidate.crash().atMs(),
					nowMs - candidate.crash().sentAtMs(), candidate.crash().begun(), candidate.request()))
			.toList();
		Long wellAtMs = this.ranWellAtMs.get(part);
		PartHistory.Restored restored = (suspect.restoredAtMs == NEVER_MS) ? PartHistory.Restored.NONE
				: new PartHistory.Restored(nowMs - suspect.restoredAtMs, List.copyOf(suspect.restoredAlternatives));
		return new PartHistory(part, crashes, (wellAtMs != null) ? nowMs - wellAtMs : -1, restored);
	}

	/**
	 * Merges a crash history received from a peer router.
	 * @param history the history of one part
	 * @param nowMs the current time
	 */
	public void receive(PartHistory history, long nowMs) {
		PromptPart part = history.part();
		Long ownWellAtMs = this.ranWellAtMs.get(part);
		boolean wellKnown = history.ranWellAgeMs() >= 0 && history.ranWellAgeMs() < KNOWN_MS;
		if (wellKnown) {
			ranWell(part, nowMs - history.ranWellAgeMs(), nowMs);
		}
		for (PartHistory.Crash crash : history.crashes()) {
			if (crash.ageMs() >= 0 && crash.ageMs() < VERDICT_RETENTION_MS && crash.sentAgeMs() >= crash.ageMs()) {
				add(part, new Record(
						new Crash(crash.upstream(), nowMs - crash.sentAgeMs(), nowMs - crash.ageMs(), crash.begun()),
						crash.request()), nowMs);
			}
		}
		PartHistory.Restored restored = history.restored();
		if (restored.ageMs() >= 0 && restored.ageMs() < VERDICT_RETENTION_MS) {
			restored(part, restored.alternatives(), nowMs - restored.ageMs(), nowMs);
		}
		boolean disproved = ownWellAtMs != null
				&& history.crashes().stream().anyMatch((crash) -> nowMs - crash.ageMs() <= ownWellAtMs);
		if (disproved || (ownWellAtMs != null && !wellKnown)) {
			// The sender has not received that requests with the part ran successfully.
			changed(part, this.suspects.getOrDefault(part, new Suspect()), nowMs);
		}
	}

	/**
	 * Restores a part that earlier routers refused.
	 * @param name the name of the verdict, as returned by {@link #verdicts}
	 * @param nowMs the current time
	 * @return whether the name is valid
	 */
	public boolean restore(String name, long nowMs) {
		Optional<PartVerdict> verdict = PartVerdict.parse(name);
		verdict.ifPresent((found) -> restored(found.part(), found.alternatives(), nowMs, nowMs));
		return verdict.isPresent();
	}

	private void restored(PromptPart part, Collection<PromptPart> alternatives, long atMs, long nowMs) {
		Long wellAtMs = this.ranWellAtMs.get(part);
		Suspect suspect = this.suspects.computeIfAbsent(part, (key) -> new Suspect());
		if (suspect.restoredAtMs == NEVER_MS && (wellAtMs == null || wellAtMs < atMs)) {
			suspect.restoredAtMs = atMs;
			suspect.restoredAlternatives.addAll(alternatives);
			changed(part, suspect, nowMs);
		}
	}

	/**
	 * Returns the verdicts in force.
	 * @param nowMs the current time
	 * @return one verdict for each refused part
	 */
	public List<PartVerdict> verdicts(long nowMs) {
		removeExpired(nowMs);
		return this.suspects.entrySet()
			.stream()
			.filter((entry) -> condemned(entry.getKey(), entry.getValue()))
			.map((entry) -> new PartVerdict(entry.getKey(),
					List.copyOf(alternatives(entry.getKey(), entry.getValue()))))
			.toList();
	}

	/**
	 * Returns the number of crashes that count for a part.
	 * @param part the part
	 * @return the number of upstreams
	 */
	public int crashes(PromptPart part) {
		Suspect suspect = this.suspects.get(part);
		return (suspect != null) ? suspect.upstreams() : 0;
	}

	private boolean condemned(PromptPart part, Suspect suspect) {
		return suspect.restoredAtMs != NEVER_MS || (suspect.crashesSuffice(knownBefore(part, suspect))
				&& alternatives(part, suspect).size() <= MAX_ALTERNATIVES);
	}

	private boolean knownBefore(PromptPart part, Suspect suspect) {
		Long wellAtMs = this.ranWellAtMs.get(part);
		return wellAtMs != null && !suspect.records.isEmpty()
				&& wellAtMs > suspect.records.getFirst().crash().atMs() - KNOWN_MS;
	}

	private Set<PromptPart> alternatives(PromptPart part, Suspect suspect) {
		boolean known = knownBefore(part, suspect);
		if (suspect.restoredAtMs != NEVER_MS && !suspect.crashesSuffice(known)) {
			return suspect.restoredAlternatives;
		}
		if (suspect.alternativesAt != this.changes) {
			suspect.alternativesAt = this.changes;
			suspect.alternatives = this.suspects.entrySet()
				.stream()
				.filter((other) -> other.getValue().records.size() >= MAX_CRASHES && !other.getKey().equals(part)
						&& isAlternative(other.getKey(), other.getValue(), suspect, known))
				.map(Map.Entry::getKey)
				.limit(MAX_ALTERNATIVES + 1)
				.collect(Collectors.toUnmodifiableSet());
		}
		return suspect.alternatives;
	}

	// A part with which requests ran successfully before is no alternative to one of
	// which that is not known. To one of which it is known, any part is an alternative
	// that was present at most crashes: routers hear of some crashes of each part late.
	private boolean isAlternative(PromptPart other, Suspect candidate, Suspect suspect, boolean known) {
		boolean otherKnown = knownBefore(other, candidate);
		if (!known) {
			return !otherKnown && suspect.upstreams() == suspect.upstreamsShared(candidate);
		}
		return candidate.crashesSuffice(otherKnown) && 2 * suspect.upstreamsShared(candidate) >= suspect.upstreams();
	}

	private void add(PromptPart part, Record crash, long nowMs) {
		Long wellAtMs = this.ranWellAtMs.get(part);
		if (this.survival.survived(crash.crash().upstream(), crash.crash().atMs())
				|| (wellAtMs != null && wellAtMs >= crash.crash().atMs())) {
			return;
		}
		this.survival.crashed(crash.crash().upstream(), crash.crash().atMs());
		Suspect suspect = this.suspects.getOrDefault(part, new Suspect());
		if (suspect.add(crash)) {
			changed(part, suspect, nowMs);
		}
	}

	private void changed(PromptPart part, Suspect suspect, long nowMs) {
		this.changes++;
		suspect.changedAtMs = nowMs;
		this.suspects.remove(part);
		this.suspects.put(part, suspect);
		if (this.suspects.size() > MAX_SUSPECTS) {
			evictOne();
		}
	}

	// A caller that sends many parts must not be able to displace a suspect that is
	// about to be refused.
	private void evictOne() {
		PromptPart evicted = null;
		int fewest = Integer.MAX_VALUE;
		for (Map.Entry<PromptPart, Suspect> oldestFirst : this.suspects.entrySet()) {
			int crashes = oldestFirst.getValue().upstreams();
			if (crashes >= MAX_CRASHES && condemned(oldestFirst.getKey(), oldestFirst.getValue())) {
				crashes = Integer.MAX_VALUE - 1;
			}
			if (crashes < fewest) {
				fewest = crashes;
				evicted = oldestFirst.getKey();
			}
			if (fewest <= 1) {
				break;
			}
		}
		this.suspects.remove(evicted);
	}

	private void removeExpired(long nowMs) {
		boolean removed = this.suspects.entrySet().removeIf((entry) -> {
			Suspect suspect = entry.getValue();
			long retentionMs = condemned(entry.getKey(), entry.getValue()) ? VERDICT_RETENTION_MS
					: SUSPECT_RETENTION_MS;
			long lastMs = suspect.lastMs();
			return nowMs - suspect.changedAtMs >= PROPAGATION_MS && nowMs - lastMs >= retentionMs;
		});
		this.changes += removed ? 1 : 0;
	}

	/**
	 * Reason why a request is not sent. Immutable.
	 *
	 * @param part the part that crashes upstreams
	 * @param crashes the number of upstreams that crashed under it
	 * @param retryAfterMs the time until it may be retried at the earliest, in
	 * milliseconds
	 */
	public record Refusal(PromptPart part, int crashes, long retryAfterMs) {
	}

	/**
	 * Crash of an upstream under a request. Immutable.
	 *
	 * @param upstream the incarnation of the upstream
	 * @param sentAtMs when the request was sent to it
	 * @param atMs when it crashed
	 * @param begun whether it had begun to answer the request
	 */
	public record Crash(String upstream, long sentAtMs, long atMs, boolean begun) {

		boolean same(Crash other) {
			return this.upstream.equals(other.upstream) && Math.abs(this.atMs - other.atMs) < SAME_CRASH_MS;
		}

	}

	private record Record(Crash crash, RequestFingerprint request) {

		boolean same(Record other) {
			return this.crash.same(other.crash) && this.request.equals(other.request);
		}

	}

	/**
	 * A part that was present at the crash of an upstream; confined to the enclosing
	 * object.
	 */
	private static final class Suspect {

		/** The earliest crash first; at most {@link #MAX_RECORDS}. */
		private final List<Record> records = new ArrayList<>();

		private final Set<PromptPart> restoredAlternatives = new HashSet<>();

		/** Time at which a verdict of earlier routers was read. */
		private long restoredAtMs = NEVER_MS;

		private long changedAtMs;

		private long triedAtMs = NEVER_MS;

		private Set<PromptPart> alternatives = Set.of();

		/** The count of changes for which the alternatives hold. */
		private long alternativesAt = -1;

		boolean add(Record added) {
			for (int index = 0; index < this.records.size(); index++) {
				Record known = this.records.get(index);
				if (known.same(added)) {
					boolean more = added.crash().begun() && !known.crash().begun();
					this.records.set(index, more ? added : known);
					return more;
				}
			}
			if (this.records.size() >= MAX_RECORDS && !makeRoom(added)) {
				return false;
			}
			this.records.add(added);
			this.records.sort(Comparator.comparingLong((Record one) -> one.crash().atMs()));
			return true;
		}

		// Several requests at one crash say little more than one of them. Otherwise the
		// first crash and the latest ones are kept.
		private boolean makeRoom(Record added) {
			Map<String, Integer> counts = new HashMap<>();
			this.records.forEach((one) -> counts.merge(one.crash().upstream(), 1, Integer::sum));
			if (counts.containsKey(added.crash().upstream())) {
				return false;
			}
			for (int index = this.records.size() - 1; index >= 0; index--) {
				if (counts.get(this.records.get(index).crash().upstream()) > 1) {
					this.records.remove(index);
					return true;
				}
			}
			boolean later = added.crash().atMs() > this.records.get(1).crash().atMs();
			return later && this.records.remove(1) != null;
		}

		boolean clear(long untilMs) {
			boolean restored = this.restoredAtMs != NEVER_MS && this.restoredAtMs <= untilMs;
			if (restored) {
				this.restoredAtMs = NEVER_MS;
				this.restoredAlternatives.clear();
			}
			return this.records.removeIf((one) -> one.crash().atMs() <= untilMs) || restored;
		}

		boolean crashesSuffice(boolean known) {
			if (this.records.size() < MAX_CRASHES
					|| this.records.stream().map(Record::request).distinct().count() < MIN_REQUESTS) {
				return false;
			}
			long spreadMs = this.records.getLast().crash().atMs() - this.records.getFirst().crash().atMs();
			boolean begun = known ? spreadMs >= MIN_SPREAD_KNOWN_MS && begunInTurn() >= MAX_CRASHES_KNOWN
					: begunInTurn() >= MAX_CRASHES;
			boolean notBegun = spreadMs >= (known ? MIN_SPREAD_KNOWN_MS : MIN_SPREAD_MS)
					&& upstreams() >= MAX_CRASHES_NOT_BEGUN;
			return begun || notBegun;
		}

		// Crashes that can't have one cause: each request was sent after the previous
		// crash.
		private int begunInTurn() {
			int count = 0;
			long lastMs = NEVER_MS;
			for (Record one : this.records) {
				if (one.crash().begun() && one.crash().sentAtMs() >= lastMs) {
					lastMs = one.crash().atMs();
					count++;
				}
			}
			return count;
		}

		int upstreams() {
			return (int) crashes().count();
		}

		int upstreamsShared(Suspect other) {
			return (int) crashes().filter((crash) -> other.records.stream().anyMatch((one) -> one.crash().same(crash)))
				.count();
		}

		private Stream<Crash> crashes() {
			return IntStream.range(0, this.records.size()).filter((index) -> {
				Crash crash = this.records.get(index).crash();
				return this.records.subList(0, index).stream().noneMatch((earlier) -> crash.same(earlier.crash()));
			}).mapToObj((index) -> this.records.get(index).crash());
		}

		long lastMs() {
			long crashMs = this.records.isEmpty() ? NEVER_MS : this.records.getLast().crash().atMs();
			return Math.max(crashMs, this.restoredAtMs);
		}

		// Each retry that crashes another upstream lengthens the pause.
		long pausedUntilMs() {
			long pauseMs = CrashingRequests.FIRST_PAUSE_MS;
			int retries = 0;
			for (int index = 1; index < this.records.size(); index++) {
				long gapMs = this.records.get(index).crash().atMs() - this.records.get(index - 1).crash().atMs();
				if (gapMs >= CrashingRequests.FIRST_PAUSE_MS) {
					pauseMs *= CrashingRequests.PAUSE_FACTOR;
					retries++;
				}
			}
			return Math.max(lastMs(), this.triedAtMs) + ((retries < MAX_RETRIES) ? pauseMs : VERDICT_RETENTION_MS);
		}

	}

}
