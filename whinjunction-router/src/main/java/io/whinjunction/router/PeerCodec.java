package io.whinjunction.router;

import java.util.Optional;

import io.whinjunction.protocol.generated.RouterStatus;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Writes and reads {@link PeerStatus} as Thrift. Confined to one thread: the library
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

	byte[] encode(PeerStatus status) {
		RouterStatus message = new RouterStatus(status.name(), status.address(), status.failureDomain(),
				status.sequence(), status.answer(), status.version(), status.proofAgeMs(), status.suspects(),
				status.tokenLayersByEngine(), status.routers(), status.leaving(), status.paceByEngine(),
				status.leading(), status.leaderAgeMs());
		try {
			return this.serializer.serialize(message);
		}
		catch (TException ex) {
			throw new IllegalStateException("a status can't be written", ex);
		}
	}

	/**
	 * Reads a datagram.
	 * @param bytes its content
	 * @return the status, or empty where it is none
	 */
	Optional<PeerStatus> decode(byte[] bytes) {
		RouterStatus message = new RouterStatus();
		try {
			this.deserializer.deserialize(message, bytes);
		}
		catch (TException ex) {
			return Optional.empty();
		}
		// Whoever reaches the port can write to it: what is no address is never sent to.
		if (!Addresses.valid(message.getAddress()) || !message.getRouters().stream().allMatch(Addresses::valid)) {
			return Optional.empty();
		}
		return Optional.of(new PeerStatus(message.getName(), message.getAddress(), message.getFailureDomain(),
				message.getSequence(), message.isAnswer(), message.getVersion(), message.getProofAgeMs(),
				message.getSuspects(), message.getTokenLayersByEngine(), message.getRouters(), message.isLeaving(),
				message.getPaceByEngine(), message.isLeading(), message.getLeaderAgeMs()));
	}

}
