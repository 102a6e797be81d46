package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.forward.CrashHistory;
import io.whinjunction.forward.PartHistory;
import io.whinjunction.forward.PromptPart;
import io.whinjunction.forward.RequestFingerprint;
import io.whinjunction.protocol.generated.ChangesAnswer;
import io.whinjunction.protocol.generated.CrashReport;
import io.whinjunction.protocol.generated.CrashReports;
import io.whinjunction.protocol.generated.ListedUpstream;
import io.whinjunction.protocol.generated.PartCrash;
import io.whinjunction.protocol.generated.PartCrashReport;
import io.whinjunction.protocol.generated.RetryAnswer;
import io.whinjunction.protocol.generated.RetryQuestion;
import io.whinjunction.protocol.generated.RouterMessage;
import io.whinjunction.protocol.generated.RouterStatus;
import io.whinjunction.protocol.generated.UpstreamCrash;
import io.whinjunction.protocol.generated.UpstreamLimitWord;
import io.whinjunction.protocol.generated.UpstreamLimitWords;
import io.whinjunction.store.StoreVersion;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Encodes and decodes {@link PeerMessage} in Thrift's compact protocol. Confined to one
 * thread, since the Thrift library reuses its buffers.
 */
final class PeerCodec {

	private final TSerializer serializer;

	private final TDeserializer deserializer;

	PeerCodec() {
		try {
			this.serializer = new TSerializer(new TCompactProtocol.Factory());
			this.deserializer = new TDeserializer(new TCompactProtocol.Factory());
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot initialize the Thrift compact protocol", ex);
		}
	}

	byte[] encode(PeerMessage message) {
		RouterMessage encoded = switch (message) {
			case PeerStatus status -> RouterMessage.status(encoded(status));
			case PeerMessage.ChangesQuestion question -> RouterMessage.changesQuestion(encoded(question));
			case PeerMessage.ChangesAnswer answer -> RouterMessage.changesAnswer(encoded(answer.changes()));
			case PeerMessage.Limits limits ->
				RouterMessage.limits(new UpstreamLimitWords(limits.limits().stream().map(PeerCodec::encoded).toList()));
			case PeerMessage.CrashReports reports -> RouterMessage.crashReports(encoded(reports));
			case PeerMessage.RetryQuestion question -> RouterMessage
				.retryQuestion(new RetryQuestion(question.number(), question.service(), question.routers()));
			case PeerMessage.RetryAnswer answer ->
				RouterMessage.retryAnswer(new RetryAnswer(answer.number(), answer.service(), answer.lent()));
		};
		try {
			return this.serializer.serialize(encoded);
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot encode peer message", ex);
		}
	}

	private static io.whinjunction.protocol.generated.ChangesQuestion encoded(PeerMessage.ChangesQuestion question) {
		return new io.whinjunction.protocol.generated.ChangesQuestion(question.after().revision(),
				question.after().era());
	}

	private static RouterStatus encoded(PeerStatus status) {
		UpstreamListState list = status.list();
		return new RouterStatus(status.name(), status.address(), status.failureDomain(), status.sequence(),
				status.answer(), status.version(), status.proofAgeMs(), status.suspects(), status.tokenLayersByEngine(),
				status.routers(), status.leaving(), status.paceByEngine(), status.leading(), status.leaderAgeMs(),
				list.version().revision(), list.changedAt(), list.ageMs(), list.watching(), list.version().era(),
				status.storeEra(), status.storeReturnAgeMs(), status.reach().contactAgesMs(), status.reach().relays(),
				status.reach().leaseReleaseAgeMs(), status.reach().workingEngines(), status.reach().answerAgesMs(),
				status.reach().spareServices());
	}

	private static ChangesAnswer encoded(UpstreamChanges changes) {
		return new ChangesAnswer(changes.after().revision(), changes.version().revision(),
				changes.changed().stream().map(PeerCodec::encoded).toList(), changes.removed(),
				changes.version().era());
	}

	private static UpstreamLimitWord encoded(ReportedLimit limit) {
		return new UpstreamLimitWord(limit.upstream(), limit.perSecond(), limit.ageMs());
	}

	private static CrashReports encoded(PeerMessage.CrashReports reports) {
		return new CrashReports(reports.histories().stream().map(PeerCodec::encoded).toList(),
				reports.partHistories().stream().map(PeerCodec::encoded).toList());
	}

	private static PartCrashReport encoded(PartHistory history) {
		List<PartCrash> crashes = history.crashes()
			.stream()
			.map((crash) -> new PartCrash(crash.upstream(), crash.ageMs(), crash.sentAgeMs(), crash.begun(),
					crash.request().value()))
			.toList();
		return new PartCrashReport(history.part().value(), crashes, history.ranWellAgeMs(), history.restored().ageMs(),
				history.restored().alternatives().stream().map(PromptPart::value).toList());
	}

	private static CrashReport encoded(CrashHistory history) {
		List<UpstreamCrash> crashes = history.crashes()
			.stream()
			.map((crash) -> new UpstreamCrash(crash.upstream(), crash.ageMs(), crash.running()))
			.toList();
		return new CrashReport(history.fingerprint().value(), crashes, history.ranWellAgeMs());
	}

	private static ListedUpstream encoded(Upstream upstream) {
		LayerRange held = upstream.held();
		ListedUpstream listed = new ListedUpstream(upstream.id(), upstream.bornMs(), upstream.service(),
				upstream.address(), upstream.failureDomain(), upstream.slots(), (held != null) ? held.first() : 0,
				(held != null) ? held.end() : 0, upstream.leaving());
		return listed.setKind(upstream.kind());
	}

	/**
	 * Decodes a datagram.
	 * @param bytes the content of the datagram
	 * @return the message, or empty where the content is invalid
	 */
	Optional<PeerMessage> decode(byte[] bytes) {
		RouterMessage message = new RouterMessage();
		try {
			this.deserializer.deserialize(message, bytes);
		}
		catch (TException ex) {
			return Optional.empty();
		}
		if (message.isSetStatus()) {
			return decoded(message.getStatus());
		}
		if (message.isSetChangesQuestion()) {
			return Optional.of(decoded(message.getChangesQuestion()));
		}
		if (message.isSetLimits()) {
			return Optional.of(decoded(message.getLimits()));
		}
		if (message.isSetCrashReports()) {
			return Optional.of(decoded(message.getCrashReports()));
		}
		if (message.isSetRetryQuestion()) {
			return Optional.of(decoded(message.getRetryQuestion()));
		}
		if (message.isSetRetryAnswer()) {
			return Optional.of(decoded(message.getRetryAnswer()));
		}
		return message.isSetChangesAnswer() ? decoded(message.getChangesAnswer()) : Optional.empty();
	}

	private static PeerMessage decoded(UpstreamLimitWords encoded) {
		return new PeerMessage.Limits(encoded.getWords()
			.stream()
			.map((limit) -> new ReportedLimit(limit.getUpstream(), limit.getPerSecond(), limit.getAgeMs()))
			.toList());
	}

	private static PeerMessage decoded(RetryQuestion question) {
		return new PeerMessage.RetryQuestion(question.getNumber(), question.getServiceName(), question.getRouters());
	}

	private static PeerMessage decoded(RetryAnswer answer) {
		return new PeerMessage.RetryAnswer(answer.getNumber(), answer.getServiceName(), answer.isLent());
	}

	private static PeerMessage decoded(CrashReports reports) {
		return new PeerMessage.CrashReports(reports.getReports().stream().map(PeerCodec::decoded).toList(),
				reports.getParts().stream().map(PeerCodec::decoded).toList());
	}

	private static PartHistory decoded(PartCrashReport report) {
		List<PartHistory.Crash> crashes = report.getCrashes()
			.stream()
			.map((crash) -> new PartHistory.Crash(crash.getUpstream(), crash.getAgeMs(), crash.getSentAgeMs(),
					crash.isBegun(), new RequestFingerprint(crash.getFingerprint())))
			.toList();
		List<PromptPart> alternatives = report.getRestoredAlternatives().stream().map(PromptPart::new).toList();
		return new PartHistory(new PromptPart(report.getPart()), crashes, report.getRanWellAgeMs(),
				new PartHistory.Restored(report.getRestoredAgeMs(), alternatives));
	}

	private static CrashHistory decoded(CrashReport report) {
		List<CrashHistory.Crash> crashes = report.getCrashes()
			.stream()
			.map((crash) -> new CrashHistory.Crash(crash.getUpstream(), crash.getAgeMs(), crash.isRunning()))
			.toList();
		return new CrashHistory(new RequestFingerprint(report.getFingerprint()), crashes, report.getRanWellAgeMs());
	}

	private static PeerMessage decoded(io.whinjunction.protocol.generated.ChangesQuestion question) {
		return new PeerMessage.ChangesQuestion(new StoreVersion(question.getEra(), question.getAfterRevision()));
	}

	// Any sender that reaches the port can send a status. One with an invalid address is
	// discarded, so that nothing is ever sent to that address.
	private static Optional<PeerMessage> decoded(RouterStatus status) {
		if (!Addresses.valid(status.getAddress()) || !allValid(status.getRouters())) {
			return Optional.empty();
		}
		UpstreamListState list = new UpstreamListState(new StoreVersion(status.getListEra(), status.getListRevision()),
				status.getListChangedAt(), status.getListAgeMs(), status.isWatchesList());
		return Optional.of(new PeerStatus(status.getName(), status.getAddress(), status.getFailureDomain(),
				status.getSequence(), status.isAnswer(), status.getVersion(), status.getProofAgeMs(),
				status.getSuspects(), status.getTokenLayersByEngine(), status.getRouters(), status.isLeaving(),
				status.getPaceByEngine(), status.isLeading(), status.getLeaderAgeMs(), list, status.getStoreEra(),
				status.getStoreReturnAgeMs(),
				new PeerReach(status.getContactAgesMs(), status.isRelays(), status.getLeaseReleaseAgeMs(),
						status.getWorkingEngines(), status.getAnswerAgesMs(), status.getSpareServices())));
	}

	private static boolean allValid(List<String> addresses) {
		for (String address : addresses) {
			if (!Addresses.valid(address)) {
				return false;
			}
		}
		return true;
	}

	private static Optional<PeerMessage> decoded(ChangesAnswer answer) {
		List<Upstream> changed = new ArrayList<>();
		for (ListedUpstream listed : answer.getChanged()) {
			if (!Addresses.valid(listed.getAddress())) {
				return Optional.empty();
			}
			changed.add(decoded(listed));
		}
		StoreVersion version = new StoreVersion(answer.getEra(), answer.getRevision());
		return Optional.of(new PeerMessage.ChangesAnswer(
				new UpstreamChanges(version.at(answer.getAfterRevision()), changed, answer.getRemoved(), version)));
	}

	private static Upstream decoded(ListedUpstream listed) {
		boolean holds = listed.getEndLayer() > listed.getFirstLayer();
		return new Upstream(listed.getId(), listed.getBornMs(), listed.getServiceName(), listed.getAddress(),
				listed.getFailureDomain(), listed.getSlots(), listed.getKind(),
				holds ? new LayerRange(listed.getFirstLayer(), listed.getEndLayer()) : null, listed.isLeaving());
	}

}
