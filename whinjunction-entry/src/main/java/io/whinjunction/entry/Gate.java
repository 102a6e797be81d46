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
 * Decides by a request's head whether this entry may take it.
 * <p>
 * Invariant: nothing passes while this entry cannot tell whether its configuration is
 * current, and no team's data passes an entry outside the team's places. Safe for all
 * threads.
 */
final class Gate {

	/**
	 * A read of a platform that is well takes some milliseconds. One that takes the whole
	 * platform limit, twice that on a late process, or a watch that ends no sooner, is
	 * not waited for: a draft's caller would see no token for many seconds.
	 */
	static final long MAX_PROOF_WAIT_MS = 1000;

	/** A proof is had by one call, which takes some milliseconds. */
	private static final long PROOF_LOOK_MS = 10;

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
	 * The entry has been told to stop.
	 * @param newExitDeadlineMs when it ends whatever still runs
	 */
	void setExitDeadline(long newExitDeadlineMs) {
		this.exitDeadlineMs = newExitDeadlineMs;
	}

	/**
	 * Whether work that is begun now can be expected to end before this entry does.
	 * @param neededMs how long it takes
	 * @return {@code true} while the entry is not stopping
	 */
	boolean hasTimeFor(long neededMs) {
		return this.ticker.nowMs() + neededMs < this.exitDeadlineMs;
	}

	boolean ready() {
		return this.ready && !this.stopping;
	}

	/**
	 * Ends the taking of requests: not ready at once, refusing after a notice. Without a
	 * notice both begin at one moment: on a starved machine the thread that stops may be
	 * held up between two writes, and whoever saw the entry not ready would have a
	 * request taken that belongs to another entry.
	 * @param noticeMs how long requests are still taken, so that a balancer can see that
	 * this entry is not ready; none where it is negative
	 * @throws InterruptedException where the thread is interrupted
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
	 * Where a team's data may be now.
	 * @param team the team
	 * @return the placement, or {@code null} where the team is gone, this entry must not
	 * have its data any more, or the configuration cannot be confirmed
	 */
	Placement placement(String team) {
		// The proof is asked for first: one that comes between the two looks may be that
		// of a tightened revision, and proves nothing about a view taken before it.
		if (!this.freshness.mayServe(this.ticker.nowMs())) {
			return null;
		}
		Placement placement = view().placements.get(team);
		return (placement != null && placement.permits(this.failureDomain)) ? placement : null;
	}

	/**
	 * Where the data of a draft that has begun may be now. The failure it is there for:
	 * an entry stood still until its proof ran out, gave up all its drafts when it ran
	 * again, and had the next proof a few milliseconds later. A draft whose caller
	 * already has a part waits for that proof; nothing is sent meanwhile, and what it
	 * waits for is judged by the configuration of that time.
	 * @param team the team
	 * @param over whether the draft ends anyway, so that there is nothing to wait for
	 * @return as {@link #placement}, after at most {@link #MAX_PROOF_WAIT_MS}
	 */
	Placement awaitPlacement(String team, BooleanSupplier over) {
		long endMs = this.ticker.nowMs() + MAX_PROOF_WAIT_MS;
		try {
			while (!this.freshness.mayServe(this.ticker.nowMs()) && this.ticker.nowMs() < endMs
					&& !over.getAsBoolean()) {
				this.ticker.sleepMs(PROOF_LOOK_MS);
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
		 * The request may go on.
		 *
		 * @param configuration the configuration that it was judged by
		 * @param placement where its data may be
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
		 * The request did not run.
		 *
		 * @param refusal why
		 */
		record Refused(Refusal refusal) implements Verdict {
		}

	}

}
