package io.whinjunction.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.whinjunction.configuration.Configuration;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.NearestMatch;
import io.whinjunction.configuration.Service;
import io.whinjunction.configuration.Team;
import io.whinjunction.http.server.Request;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.outcome.Refusal.Code;
import io.whinjunction.place.PlaceRules;
import io.whinjunction.place.Placement;
import io.whinjunction.time.Ticker;

/**
 * Decides by the head of a request whether this entry may accept it.
 * <p>
 * Invariant: no request passes while this entry cannot confirm that its configuration is
 * current, and no request passes an entry outside the permitted places of its team.
 * Thread-safe.
 */
final class Gate {

	/**
	 * The maximum wait for a freshness proof, in milliseconds. A read from a healthy
	 * platform takes a few milliseconds. The wait does not cover a read that takes the
	 * full platform timeout (twice that on a delayed process) or a watch that runs to its
	 * timeout: the caller of a draft would receive no token for many seconds.
	 */
	static final long MAX_PROOF_WAIT_MS = 1000;

	/**
	 * The interval of checks for a freshness proof, in milliseconds. A proof takes one
	 * call of a few milliseconds.
	 */
	private static final long PROOF_CHECK_INTERVAL_MS = 10;

	private static final int RETRY_AFTER_S = 1;

	private final ConfigurationHolder configuration;

	private final Freshness freshness;

	private final String failureDomain;

	private final Ticker ticker;

	private volatile View view = new View(Configuration.EMPTY);

	private volatile boolean ready = true;

	private volatile boolean stopping;

	private volatile long exitDeadlineMs = Long.MAX_VALUE;

	Gate(ConfigurationHolder configuration, Freshness freshness, String failureDomain, Ticker ticker) {
		this.configuration = configuration;
		this.freshness = freshness;
		this.failureDomain = failureDomain;
		this.ticker = ticker;
	}

	/**
	 * Sets the time at which this stopping entry ends the requests that still run.
	 * @param newExitDeadlineMs the time
	 */
	void setExitDeadline(long newExitDeadlineMs) {
		this.exitDeadlineMs = newExitDeadlineMs;
	}

	/**
	 * Returns whether work that is started now can complete before the exit deadline.
	 * @param neededMs the expected duration of the work
	 * @return whether the time suffices; always {@code true} while the entry is not
	 * stopping
	 */
	boolean hasTimeFor(long neededMs) {
		return this.ticker.nowMs() + neededMs < this.exitDeadlineMs;
	}

	boolean ready() {
		return this.ready && !this.stopping;
	}

	/**
	 * Stops accepting requests: reports not ready at once and refuses requests after the
	 * notice. Without a notice both take effect in a single write. With two writes, the
	 * stopping thread could be delayed between them on a starved machine, and the entry
	 * would accept requests after it was seen as not ready, which belong to another
	 * entry.
	 * @param noticeMs how long requests are still accepted, so that a balancer can detect
	 * that this entry is not ready; zero or less for no notice
	 * @throws InterruptedException if the thread is interrupted
	 */
	void rejectRequestsAfter(long noticeMs) throws InterruptedException {
		if (noticeMs > 0) {
			this.ready = false;
			this.ticker.sleepMs(noticeMs);
		}
		this.stopping = true;
	}

	Verdict check(Request head) {
		if (this.stopping) {
			return refused(stoppingRefusal());
		}
		if (!this.freshness.mayServe(this.ticker.nowMs())) {
			return refused(Refusal.temporary(Code.CONFIGURATION_UNCONFIRMED,
					"This entry cannot tell whether its configuration is current; ask another one.", RETRY_AFTER_S));
		}
		View current = view();
		Optional<Team> team = current.keys.teamOf(head.header("authorization"));
		if (team.isEmpty()) {
			return refused(
					Refusal.permanent(Code.UNKNOWN_KEY, "No team has this key; send 'authorization: Bearer KEY'."));
		}
		if (!current.rules.permits(team.get(), this.failureDomain)) {
			return refused(Refusal.permanent(Code.PLACE_NOT_PERMITTED, "Data of team '" + team.get().name()
					+ "' must not be in '" + this.failureDomain + "', where this entry is."));
		}
		return new Verdict.Passed(current.configuration, current.placements.get(team.get().name()));
	}

	/**
	 * Returns where the data of a team may currently be.
	 * @param team the name of the team
	 * @return the placement, or {@code null} if the team no longer exists, if this entry
	 * may no longer have its data, or if the configuration cannot be confirmed
	 */
	Placement placement(String team) {
		// The proof is checked before the view is read: a proof that arrives in between
		// may be that of a revision with tightened rules, and proves nothing about an
		// earlier view.
		if (!this.freshness.mayServe(this.ticker.nowMs())) {
			return null;
		}
		Placement placement = view().placements.get(team);
		return (placement != null && placement.permits(this.failureDomain)) ? placement : null;
	}

	/**
	 * Returns where the data of a draft that has started may currently be, and waits for
	 * a freshness proof if necessary. Guards against drafts that break off needlessly: an
	 * entry was suspended until its proof expired, abandoned all its drafts when it
	 * resumed, and received the next proof a few milliseconds later. A draft whose caller
	 * has already received tokens waits for that proof; no step is sent meanwhile, and
	 * the result follows from the configuration at the end of the wait.
	 * @param team the name of the team
	 * @param over whether the draft ends for another reason, which also ends the wait
	 * @return as {@link #placement}, after at most {@link #MAX_PROOF_WAIT_MS}
	 */
	Placement awaitPlacement(String team, BooleanSupplier over) {
		long endMs = this.ticker.nowMs() + MAX_PROOF_WAIT_MS;
		try {
			while (!this.freshness.mayServe(this.ticker.nowMs()) && this.ticker.nowMs() < endMs
					&& !over.getAsBoolean()) {
				this.ticker.sleepMs(PROOF_CHECK_INTERVAL_MS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
		return placement(team);
	}

	static Refusal unknownService(Verdict.Passed passed, String name) {
		return Refusal.permanent(Code.UNKNOWN_SERVICE, "Team '" + passed.team().name() + "' has no service '" + name
				+ "'" + NearestMatch.hint(name, passed.team().services().stream().sorted().toList()));
	}

	static Refusal stoppingRefusal() {
		return Refusal.temporary(Code.STOPPING, "This entry is stopping; ask another one.", RETRY_AFTER_S);
	}

	private View view() {
		View current = this.view;
		Configuration newest = this.configuration.configuration();
		if (current.configuration != newest) {
			current = new View(newest);
			this.view = current;
		}
		return current;
	}

	private static Verdict refused(Refusal refusal) {
		return new Verdict.Refused(refusal);
	}

	private static final class View {

		private final Configuration configuration;

		private final KeyRing keys;

		private final PlaceRules rules;

		private final Map<String, Placement> placements = new HashMap<>();

		View(Configuration configuration) {
			this.configuration = configuration;
			this.keys = new KeyRing(configuration);
			this.rules = new PlaceRules(configuration);
			configuration.teams().forEach((name, team) -> this.placements.put(name, new Placement(team, this.rules)));
		}

	}

	/**
	 * The decision.
	 */
	sealed interface Verdict {

		/**
		 * The request may proceed.
		 *
		 * @param configuration the configuration that the decision is based on
		 * @param placement where the data of the request may be
		 */
		record Passed(Configuration configuration, Placement placement) implements Verdict {

			Team team() {
				return this.placement.team();
			}

			Optional<Service> service(String name) {
				return team().services().contains(name) ? Optional.ofNullable(this.configuration.services().get(name))
						: Optional.empty();
			}

		}

		/**
		 * The request is refused and does not run.
		 *
		 * @param refusal the reason
		 */
		record Refused(Refusal refusal) implements Verdict {
		}

	}

}
