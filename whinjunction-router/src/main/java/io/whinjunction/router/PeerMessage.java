package io.whinjunction.router;

import java.util.List;

import io.whinjunction.forward.CrashHistory;
import io.whinjunction.forward.PartHistory;
import io.whinjunction.store.StoreVersion;

/**
 * Content of a datagram between routers. Immutable.
 */
sealed interface PeerMessage permits PeerStatus, PeerMessage.ChangesQuestion, PeerMessage.ChangesAnswer,
		PeerMessage.CrashReports, PeerMessage.Limits, PeerMessage.RetryQuestion, PeerMessage.RetryAnswer {

	/**
	 * Requests the changes of the list of upstreams.
	 *
	 * @param after the version that the requesting router has
	 */
	record ChangesQuestion(StoreVersion after) implements PeerMessage {
	}

	/**
	 * Answers a {@link ChangesQuestion} with the changes, or states that the list has to
	 * be read from the store.
	 *
	 * @param changes the changes; without any, and with no later revision, where the
	 * sender does not have them or they are too many for one message
	 */
	record ChangesAnswer(UpstreamChanges changes) implements PeerMessage {
	}

	/**
	 * Reports the request limits that upstreams announce.
	 *
	 * @param limits the latest limit of each upstream that the sender has received
	 */
	record Limits(List<ReportedLimit> limits) implements PeerMessage {

		public Limits {
			limits = List.copyOf(limits);
		}

	}

	/**
	 * Requests one retry of the receiving router's share of the retry budget.
	 *
	 * @param number the random number of the question
	 * @param service the service to which the retry is to be sent
	 * @param routers the number of routers that the sender knows, itself included
	 */
	record RetryQuestion(long number, String service, int routers) implements PeerMessage {
	}

	/**
	 * Answers a {@link RetryQuestion}.
	 *
	 * @param number the number of the question
	 * @param service the service of the question
	 * @param lent whether the sender lends one retry
	 */
	record RetryAnswer(long number, String service, boolean lent) implements PeerMessage {
	}

	/**
	 * Reports the requests and the parts of prompts under which upstreams crashed.
	 *
	 * @param histories the sender's crash history of each request
	 * @param partHistories the sender's crash history of each part
	 */
	record CrashReports(List<CrashHistory> histories, List<PartHistory> partHistories) implements PeerMessage {

		public CrashReports {
			histories = List.copyOf(histories);
			partHistories = List.copyOf(partHistories);
		}

	}

}
