package io.whinjunction.loss;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reads routers' logs and tells which requests were not on time, each with one cause and
 * its evidence.
 * <p>
 * Requests that never reached a router, or whose router was killed before they ended,
 * leave no line and are not in it; a router's {@code event=started} shows when that may
 * have been. Denied requests and callers that left early are no losses. Confined to one
 * thread.
 */
public final class LossAnalyzer {

	/** Attempts and detours of requests that have not ended yet. */
	private final Map<String, Trail> trails = new HashMap<>();

	private final List<Loss> losses = new ArrayList<>();

	private long requests;

	/**
	 * Takes the next line of a router's log.
	 * @param text the line; others than structured ones are passed over
	 */
	public void read(String text) {
		LogLine.parse(text).ifPresent(this::take);
	}

	private void take(LogLine line) {
		switch (line.text("event")) {
			case "attempt" -> trail(line).attempt(line);
			case "detour" -> trail(line).detours++;
			case "request" -> ended(line, this.trails.remove(line.text("id")));
			default -> {
				// Other events say nothing of a single request.
			}
		}
	}

	private Trail trail(LogLine line) {
		return this.trails.computeIfAbsent(line.text("id"), (id) -> new Trail());
	}

	private void ended(LogLine line, Trail trail) {
		if (line.text("outcome").equals("denied") || line.text("outcome").equals("gone")) {
			return;
		}
		this.requests++;
		cause(line, (trail != null) ? trail : new Trail())
			.ifPresent((cause) -> this.losses.add(new Loss(line.text("id"), line.text("time"), line.text("kind"), cause,
					line.text("domain"), evidence(line))));
	}

	private static Optional<LossCause> cause(LogLine line, Trail trail) {
		return switch (line.text("outcome")) {
			case "answered" -> onTime(line) ? Optional.empty() : Optional.of(lateBecause(line, trail));
			case "refused" -> Optional.of(LossCause.REFUSED);
			case "failed-upstream" -> Optional.of(LossCause.UPSTREAM_FAILED);
			case "failed" -> Optional
				.of(line.text("reason").equals("timeout") ? LossCause.OUT_OF_TIME : trail.cause(LossCause.ANSWER_LOST));
			case "broken" -> Optional
				.of(line.text("reason").equals("deadline") ? LossCause.OUT_OF_TIME : trail.cause(LossCause.BROKEN_OFF));
			default -> Optional.of(LossCause.NOT_ATTRIBUTED);
		};
	}

	private static boolean onTime(LogLine line) {
		return firstOnTime(line) && gapOnTime(line);
	}

	private static boolean firstOnTime(LogLine line) {
		long tookMs = (line.number("first-ms") >= 0) ? line.number("first-ms") : line.number("took-ms");
		return line.number("aim-ms") <= 0 || tookMs <= line.number("aim-ms");
	}

	private static boolean gapOnTime(LogLine line) {
		return line.number("gap-aim-ms") <= 0 || line.number("gap-ms") <= line.number("gap-aim-ms");
	}

	private static LossCause lateBecause(LogLine line, Trail trail) {
		return trail.cause(firstOnTime(line) ? LossCause.SLOW_PAUSE : LossCause.FIRST_LATE);
	}

	private static String evidence(LogLine line) {
		return "outcome=" + line.text("outcome") + " reason=" + line.text("reason") + " first-ms="
				+ line.text("first-ms") + "/" + line.text("aim-ms") + " gap-ms=" + line.text("gap-ms") + "/"
				+ line.text("gap-aim-ms") + " took-ms=" + line.text("took-ms") + " sent=" + line.text("sent");
	}

	/**
	 * How many requests ended, those on time included.
	 * @return the number
	 */
	public long requests() {
		return this.requests;
	}

	/**
	 * Requests that were not on time, in the order in which they ended.
	 * @return the losses
	 */
	public List<Loss> losses() {
		return List.copyOf(this.losses);
	}

	/** What happened to a request before it ended; confined to the account. */
	private static final class Trail {

		private int detours;

		private final Set<String> ends = new HashSet<>();

		private boolean engineLost;

		void attempt(LogLine line) {
			this.ends.add(line.text("end"));
			this.engineLost |= line.text("reason").equals("stalled") || !line.text("faulty").equals("-");
		}

		LossCause cause(LossCause otherwise) {
			if (this.engineLost || this.detours > 0) {
				return LossCause.ENGINE_LOST;
			}
			if (this.ends.contains("Unknown") || this.ends.contains("NotSent")) {
				return LossCause.ANSWER_LOST;
			}
			if (this.ends.contains("Failed")) {
				return LossCause.UPSTREAM_FAILED;
			}
			return this.ends.contains("NotRun") ? LossCause.TURNED_AWAY : otherwise;
		}

	}

}
