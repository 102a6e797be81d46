package io.whinjunction.loss;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the requests in routers' logs that were not answered on time, each with one cause
 * and its evidence.
 * <p>
 * Requests that never reached a router, or whose router was killed before they ended,
 * leave no log line and are not included; a router's {@code event=started} shows when
 * that may have happened. Denied requests and requests whose caller disconnected early
 * are not losses. Confined to one thread.
 */
public final class LossAnalyzer {

	/** The attempts and detours of requests that have not ended yet, by request. */
	private final Map<String, RequestHistory> histories = new HashMap<>();

	private final List<Loss> losses = new ArrayList<>();

	private long requests;

	/**
	 * Reads the next line of a router's log.
	 * @param text the line; unstructured lines are ignored
	 */
	public void read(String text) {
		LogLine.parse(text).ifPresent(this::process);
	}

	private void process(LogLine line) {
		switch (line.text("event")) {
			case "attempt" -> history(line).attempt(line);
			case "detour" -> history(line).detours++;
			case "request" -> recordEnd(line, this.histories.remove(line.text("id")));
			default -> {
				// Other events do not concern a single request.
			}
		}
	}

	private RequestHistory history(LogLine line) {
		return this.histories.computeIfAbsent(line.text("id"), (id) -> new RequestHistory());
	}

	private void recordEnd(LogLine line, RequestHistory history) {
		if (line.text("outcome").equals("denied") || line.text("outcome").equals("gone")) {
			return;
		}
		this.requests++;
		cause(line, (history != null) ? history : new RequestHistory())
			.ifPresent((cause) -> this.losses.add(new Loss(line.text("id"), line.text("time"), line.text("kind"), cause,
					line.text("domain"), evidence(line))));
	}

	private static Optional<LossCause> cause(LogLine line, RequestHistory history) {
		return switch (line.text("outcome")) {
			case "answered" -> onTime(line) ? Optional.empty() : Optional.of(causeOfDelay(line, history));
			case "refused" -> Optional.of(LossCause.REFUSED);
			case "failed-upstream" -> Optional.of(LossCause.UPSTREAM_FAILED);
			case "failed" -> Optional.of(line.text("reason").equals("timeout") ? LossCause.OUT_OF_TIME
					: history.cause(LossCause.ANSWER_LOST));
			case "broken" -> Optional.of(line.text("reason").equals("deadline") ? LossCause.OUT_OF_TIME
					: history.cause(LossCause.BROKEN_OFF));
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

	private static LossCause causeOfDelay(LogLine line, RequestHistory history) {
		return history.cause(firstOnTime(line) ? LossCause.SLOW_PAUSE : LossCause.FIRST_LATE);
	}

	private static String evidence(LogLine line) {
		return "outcome=" + line.text("outcome") + " reason=" + line.text("reason") + " first-ms="
				+ line.text("first-ms") + "/" + line.text("aim-ms") + " gap-ms=" + line.text("gap-ms") + "/"
				+ line.text("gap-aim-ms") + " took-ms=" + line.text("took-ms") + " sent=" + line.text("sent");
	}

	/**
	 * Returns the number of requests that ended, including those on time.
	 * @return the number
	 */
	public long requests() {
		return this.requests;
	}

	/**
	 * Returns the requests that were not on time, in the order in which they ended.
	 * @return the losses
	 */
	public List<Loss> losses() {
		return List.copyOf(this.losses);
	}

	/** What happened to a request before it ended; confined to the analyzer. */
	private static final class RequestHistory {

		private int detours;

		private final Set<String> outcomes = new HashSet<>();

		private boolean engineLost;

		void attempt(LogLine line) {
			this.outcomes.add(line.text("end"));
			this.engineLost |= line.text("reason").equals("stalled") || !line.text("faulty").equals("-");
		}

		LossCause cause(LossCause fallback) {
			if (this.engineLost || this.detours > 0) {
				return LossCause.ENGINE_LOST;
			}
			if (this.outcomes.contains("Unknown") || this.outcomes.contains("NotSent")) {
				return LossCause.ANSWER_LOST;
			}
			if (this.outcomes.contains("Failed")) {
				return LossCause.UPSTREAM_FAILED;
			}
			return this.outcomes.contains("NotRun") ? LossCause.TURNED_AWAY : fallback;
		}

	}

}
