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
 * Admits requests through the rate limit of their team and the admission queue.
 * <p>
 * Invariant: a stopping entry starts no request that it would probably have to cut off.
 * Such a request is refused as not run as soon as this is known, even while it is queued,
 * so that its caller has time left to try another entry. Stateless.
 */
final class Admission {

	/** How often a queued request checks whether its caller has disconnected. */
	private static final long CHECK_INTERVAL_MS = 100;

	private Admission() {
	}

	/**
	 * Waits until the request may run.
	 * @param context the components of the entry
	 * @param queue the queue
	 * @param team the team
	 * @param allowedMs how long the request may take, including its time in the queue
	 * @param exchange the request
	 * @return {@code null} if the request may run, in which case
	 * {@link AdmissionQueue#leave} must be called after it; otherwise the refusal
	 */
	static Refusal enter(EntryContext context, AdmissionQueue queue, Team team, long allowedMs, Exchange exchange) {
		if (!canComplete(context, queue)) {
			return Gate.stoppingRefusal();
		}
		long waitMs = context.limits().tryStart(team, context.members().alive().size(), context.ticker().nowMs());
		if (waitMs > 0) {
			return Refusal.temporary(Code.TEAM_LIMIT, "Team '" + team.name() + "' is above its rate.", seconds(waitMs));
		}
		Ticket ticket = queue.enter(team.name(), team.weight(), allowedMs);
		return switch (ticket) {
			case Ticket.Admitted ignored -> null;
			case Ticket.Refused refused when refused.full() -> Refusal.temporary(Code.OVERLOADED,
					"More work is waiting than can be done.", seconds(refused.retryAfterMs()));
			case Ticket.Refused refused -> Refusal.temporary(Code.DEADLINE, "The answer would come after its deadline.",
					seconds(refused.retryAfterMs()));
			case Ticket.Waiting waiting ->
				await(context, queue, team, AdmissionQueue.waitMs(allowedMs), exchange, waiting);
		};
	}

	private static Refusal await(EntryContext context, AdmissionQueue queue, Team team, long waitMs, Exchange exchange,
			Ticket.Waiting waiting) {
		long endMs = context.ticker().nowMs() + waitMs;
		while (true) {
			long remainingMs = endMs - context.ticker().nowMs();
			try {
				boolean admitted = waiting.admitted()
					.get(Math.max(1, Math.min(CHECK_INTERVAL_MS, remainingMs)), TimeUnit.MILLISECONDS);
				return admitted ? null : Refusal.temporary(Code.OVERLOADED,
						"More work of the team is waiting than can be done; another team came first.", 1);
			}
			catch (TimeoutException ex) {
				boolean canComplete = canComplete(context, queue);
				boolean over = remainingMs <= 0 || exchange.callerDisconnected() || !canComplete;
				if (over && queue.cancel(team.name(), waiting)) {
					return canComplete
							? Refusal.temporary(Code.DEADLINE, "The request waited as long as its deadline allows.", 1)
							: Gate.stoppingRefusal();
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return queue.cancel(team.name(), waiting) ? Gate.stoppingRefusal() : null;
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private static boolean canComplete(EntryContext context, AdmissionQueue queue) {
		return context.gate().hasTimeFor(queue.typicalServiceMs());
	}

	private static int seconds(long milliseconds) {
		return (int) Math.max(1, (milliseconds + 999) / 1000);
	}

}
