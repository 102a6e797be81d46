package io.whinjunction.entry;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.whinjunction.admission.AdmissionQueue;
import io.whinjunction.admission.AdmissionQueue.Ticket;
import io.whinjunction.configuration.Team;
import io.whinjunction.http.server.Exchange;
import io.whinjunction.outcome.Refusal;
import io.whinjunction.outcome.Refusal.Code;

/**
 * Takes a request through its team's limit and the queue. Stateless.
 * <p>
 * Invariant: a stopping entry begins nothing that it would likely cut off. Such a request
 * is refused as not run as soon as that is known, also while it waits, so that its caller
 * has time left to ask another entry.
 */
final class Admission {

	/** How often a waiting request looks whether its caller has gone. */
	private static final long LOOK_EVERY_MS = 100;

	private Admission() {
	}

	/**
	 * Waits until the request may run.
	 * @param parts the entry
	 * @param queue the queue
	 * @param team the team
	 * @param allowedMs how long it may take, waiting included
	 * @param exchange the request
	 * @return {@code null} where it may run, and {@link AdmissionQueue#leave} has to
	 * follow; else the refusal
	 */
	static Refusal enter(EntryParts parts, AdmissionQueue queue, Team team, long allowedMs, Exchange exchange) {
		if (!mayEnd(parts, queue)) {
			return Gate.stoppingRefusal();
		}
		long waitMs = parts.limits().tryStart(team, parts.members().alive().size(), parts.ticker().nowMs());
		if (waitMs > 0) {
			return Refusal.temporary(Code.TEAM_LIMIT, "Team '" + team.name() + "' is above its rate.", seconds(waitMs));
		}
		Ticket ticket = queue.enter(team.name(), team.weight(), allowedMs);
		return switch (ticket) {
			case Ticket.Admitted ignored -> null;
			case Ticket.Refused refused when refused.full() -> Refusal.temporary(Code.OVERLOADED,
					"More work is waiting than can be done.", seconds(refused.comeBackMs()));
			case Ticket.Refused refused -> Refusal.temporary(Code.DEADLINE, "The answer would come after its deadline.",
					seconds(refused.comeBackMs()));
			case Ticket.Waiting waiting ->
				await(parts, queue, team, AdmissionQueue.waitMs(allowedMs), exchange, waiting);
		};
	}

	private static Refusal await(EntryParts parts, AdmissionQueue queue, Team team, long waitMs, Exchange exchange,
			Ticket.Waiting waiting) {
		long endMs = parts.ticker().nowMs() + waitMs;
		while (true) {
			long leftMs = endMs - parts.ticker().nowMs();
			try {
				boolean runs = waiting.turn().get(Math.max(1, Math.min(LOOK_EVERY_MS, leftMs)), TimeUnit.MILLISECONDS);
				return runs ? null : Refusal.temporary(Code.OVERLOADED,
						"More work of the team is waiting than can be done; another team came first.", 1);
			}
			catch (TimeoutException ex) {
				boolean mayEnd = mayEnd(parts, queue);
				boolean over = leftMs <= 0 || exchange.callerDisconnected() || !mayEnd;
				if (over && queue.giveUp(team.name(), waiting)) {
					return mayEnd
							? Refusal.temporary(Code.DEADLINE, "The request waited as long as its deadline allows.", 1)
							: Gate.stoppingRefusal();
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return queue.giveUp(team.name(), waiting) ? Gate.stoppingRefusal() : null;
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private static boolean mayEnd(EntryParts parts, AdmissionQueue queue) {
		return parts.gate().leavesTimeFor(queue.usualMs());
	}

	private static int seconds(long milliseconds) {
		return (int) Math.max(1, (milliseconds + 999) / 1000);
	}

}
