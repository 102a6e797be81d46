package io.whinjunction.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import io.whinjunction.membership.Member;
import io.whinjunction.protocol.generated.MemberRecord;
import io.whinjunction.protocol.generated.MemberStatus;

/**
 * Converts members to messages of the protocol and back. Stateless.
 */
final class PeerMessages {

	private PeerMessages() {
	}

	static MemberRecord encode(Member member) {
		return new MemberRecord(member.id(), member.address(), member.failureDomain(), member.incarnation(),
				MemberStatus.findByValue(member.status().ordinal() + 1));
	}

	static List<MemberRecord> encode(Collection<Member> members) {
		List<MemberRecord> records = new ArrayList<>(members.size());
		members.forEach((member) -> records.add(encode(member)));
		return records;
	}

	static Member decode(MemberRecord message) {
		return new Member(message.getId(), message.getAddress(), message.getFailureDomain(), message.getIncarnation(),
				Member.Status.values()[message.getStatus().getValue() - 1]);
	}

	static List<Member> decode(Collection<MemberRecord> messages) {
		List<Member> members = new ArrayList<>(messages.size());
		messages.forEach((message) -> members.add(decode(message)));
		return members;
	}

}
