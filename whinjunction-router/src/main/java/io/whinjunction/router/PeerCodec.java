package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.whinjunction.configuration.LayerRange;
import io.whinjunction.protocol.generated.ChangesAnswer;
import io.whinjunction.protocol.generated.ListedUpstream;
import io.whinjunction.protocol.generated.RouterMessage;
import io.whinjunction.protocol.generated.RouterStatus;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Writes and reads {@link PeerMessage} as Thrift. Confined to one thread: the library
 * reuses its buffers.
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
			throw new IllegalStateException("Thrift can't be used", ex);
		}
	}

	byte[] encode(PeerMessage message) {
		RouterMessage encoded = switch (message) {
			case PeerStatus status -> RouterMessage.status(encoded(status));
			case PeerMessage.ChangesQuestion question -> RouterMessage
				.changesQuestion(new io.whinjunction.protocol.generated.ChangesQuestion(question.afterRevision()));
			case PeerMessage.ChangesAnswer answer -> RouterMessage.changesAnswer(encoded(answer.changes()));
		};
		try {
			return this.serializer.serialize(encoded);
		}
		catch (TException ex) {
			throw new IllegalStateException("a message can't be written", ex);
		}
	}

	private static RouterStatus encoded(PeerStatus status) {
		ListState list = status.list();
		return new RouterStatus(status.name(), status.address(), status.failureDomain(), status.sequence(),
				status.answer(), status.version(), status.proofAgeMs(), status.suspects(), status.tokenLayersByEngine(),
				status.routers(), status.leaving(), status.paceByEngine(), status.leading(), status.leaderAgeMs(),
				list.revision(), list.changedAt(), list.ageMs(), list.watching());
	}

	private static ChangesAnswer encoded(UpstreamChanges changes) {
		return new ChangesAnswer(changes.afterRevision(), changes.revision(),
				changes.changed().stream().map(PeerCodec::encoded).toList(), changes.removed());
	}

	private static ListedUpstream encoded(Upstream upstream) {
		LayerRange held = upstream.held();
		ListedUpstream listed = new ListedUpstream(upstream.id(), upstream.bornMs(), upstream.service(),
				upstream.address(), upstream.failureDomain(), upstream.slots(), (held != null) ? held.first() : 0,
				(held != null) ? held.end() : 0, upstream.leaving());
		return listed.setKind(upstream.kind());
	}

	/**
	 * Reads a datagram.
	 * @param bytes its content
	 * @return the message, or empty where it is none
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
			return Optional.of(new PeerMessage.ChangesQuestion(message.getChangesQuestion().getAfterRevision()));
		}
		return message.isSetChangesAnswer() ? decoded(message.getChangesAnswer()) : Optional.empty();
	}

	// Whoever reaches the port can write to it: what is no address is never sent to.
	private static Optional<PeerMessage> decoded(RouterStatus status) {
		if (!Addresses.valid(status.getAddress()) || !allValid(status.getRouters())) {
			return Optional.empty();
		}
		ListState list = new ListState(status.getListRevision(), status.getListChangedAt(), status.getListAgeMs(),
				status.isWatchesList());
		return Optional.of(new PeerStatus(status.getName(), status.getAddress(), status.getFailureDomain(),
				status.getSequence(), status.isAnswer(), status.getVersion(), status.getProofAgeMs(),
				status.getSuspects(), status.getTokenLayersByEngine(), status.getRouters(), status.isLeaving(),
				status.getPaceByEngine(), status.isLeading(), status.getLeaderAgeMs(), list));
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
		return Optional.of(new PeerMessage.ChangesAnswer(
				new UpstreamChanges(answer.getAfterRevision(), changed, answer.getRemoved(), answer.getRevision())));
	}

	private static Upstream decoded(ListedUpstream listed) {
		boolean holds = listed.getEndLayer() > listed.getFirstLayer();
		return new Upstream(listed.getId(), listed.getBornMs(), listed.getServiceName(), listed.getAddress(),
				listed.getFailureDomain(), listed.getSlots(), listed.getKind(),
				holds ? new LayerRange(listed.getFirstLayer(), listed.getEndLayer()) : null, listed.isLeaving());
	}

}
