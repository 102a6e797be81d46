package io.whinjunction.router;

import java.util.List;

import io.whinjunction.forward.CrashHistory;
import io.whinjunction.store.StoreVersion;

/**
 * What a datagram from one router to another says. Immutable.
 */
sealed interface PeerMessage permits PeerStatus, PeerMessage.ChangesQuestion, PeerMessage.ChangesAnswer,
		PeerMessage.CrashReports, PeerMessage.Limits {

	/**
	 * Asks for what changed in the list of upstreams.
	 *
	 * @param after the version that the asking router has
	 */
	record ChangesQuestion(StoreVersion after) implements PeerMessage {
	}

	/**
	 * What changed, or that it has to be read from the store.
	 *
	 * @param changes the changes; without any, and with no later revision, where they are
	 * not known or too many to be told
	 */
	record ChangesAnswer(UpstreamChanges changes) implements PeerMessage {
	}

	/**
	 * Limits that upstreams name.
	 *
	 * @param limits the latest word on each upstream, as far as the sender has heard
	 */
	record Limits(List<ReportedLimit> limits) implements PeerMessage {

		public Limits {
			limits = List.copyOf(limits);
		}

	}

	/**
	 * Requests under which upstreams ended.
	 *
	 * @param histories what the sender knows of each
	 */
	record CrashReports(List<CrashHistory> histories) implements PeerMessage {

		public CrashReports {
			histories = List.copyOf(histories);
		}

	}

}
