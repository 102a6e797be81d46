package io.whinjunction.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Which entries there are, as one of them believes.
 * <p>
 * Each member probes one other per period; beliefs travel with the probes, each a bounded
 * number of times, so that a member's traffic does not grow with the fleet. A member that
 * hears a rumour of its own end refutes it with a higher incarnation.
 * <p>
 * Invariant: this member itself is always alive in its own table, until it leaves. Safe
 * for all threads.
 */
public final class MembershipTable {

	/** Each belief is passed on this often, times the logarithm of the fleet. */
	private static final int TRANSMISSIONS_PER_LOG = 3;

	/** How long an ended member still counts as one of the fleet. */
	private static final long REMEMBER_MS = 3_600_000;

	private final long suspicionMs;

	private final Map<String, Entry> entries = new HashMap<>();

	private Member self;

	/**
	 * A table that holds only its owner.
	 * @param self this member
	 * @param suspicionMs how long a silent member stays a suspect, in milliseconds
	 */
	public MembershipTable(Member self, long suspicionMs) {
		this.self = self;
		this.suspicionMs = suspicionMs;
		this.entries.put(self.id(), new Entry(self, 0));
	}

	/**
	 * This member.
	 * @return its own newest belief on itself
	 */
	public synchronized Member self() {
		return this.self;
	}

	/**
	 * Takes beliefs from a peer.
	 * @param beliefs what the peer believes
	 * @param nowMs the time
	 */
	public synchronized void merge(Collection<Member> beliefs, long nowMs) {
		for (Member belief : beliefs) {
			if (belief.id().equals(this.self.id())) {
				refute(belief, nowMs);
			}
			else {
				take(belief, nowMs);
			}
		}
	}

	/**
	 * A member answered directly.
	 * @param member what it says of itself
	 * @param nowMs the time
	 */
	public synchronized void recordContact(Member member, long nowMs) {
		Entry entry = this.entries.get(member.id());
		if (entry == null || member.overrides(entry.member)) {
			take(member, nowMs);
		}
		else if (entry.member.status() == Member.Status.SUSPECT && entry.member.incarnation() == member.incarnation()) {
			// Its own word; the rumour elsewhere dies when the member refutes it.
			this.entries.put(member.id(), new Entry(member, nowMs));
		}
	}

	/**
	 * A member did not answer a probe.
	 * @param id the member
	 * @param nowMs the time
	 */
	public synchronized void suspect(String id, long nowMs) {
		Entry entry = this.entries.get(id);
		if (entry != null && entry.member.status() == Member.Status.ALIVE) {
			this.entries.put(id, new Entry(entry.member.with(Member.Status.SUSPECT), nowMs));
		}
	}

	/**
	 * Lets time pass: suspects die, the long dead are forgotten.
	 * @param nowMs the time
	 */
	public synchronized void tick(long nowMs) {
		List<Entry> dead = new ArrayList<>();
		this.entries.values().removeIf((entry) -> ended(entry.member) && nowMs - entry.sinceMs > REMEMBER_MS);
		for (Entry entry : this.entries.values()) {
			if (entry.member.status() == Member.Status.SUSPECT && nowMs - entry.sinceMs > this.suspicionMs) {
				dead.add(entry);
			}
		}
		for (Entry entry : dead) {
			this.entries.put(entry.member.id(), new Entry(entry.member.with(Member.Status.DEAD), nowMs));
		}
	}

	/**
	 * This member goes on purpose.
	 * @param nowMs the time
	 */
	public synchronized void leave(long nowMs) {
		this.self = new Member(this.self.id(), this.self.address(), this.self.failureDomain(),
				this.self.incarnation() + 1, Member.Status.LEAVING);
		this.entries.put(this.self.id(), new Entry(this.self, nowMs));
	}

	/**
	 * The next member to probe, by chance.
	 * @param random the source of chance
	 * @return a member other than this one, suspects included, or {@code null}
	 */
	public synchronized Member probeTarget(RandomGenerator random) {
		List<Member> targets = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (!ended(entry.member) && !entry.member.id().equals(this.self.id())) {
				targets.add(entry.member);
			}
		}
		return targets.isEmpty() ? null : targets.get(random.nextInt(targets.size()));
	}

	/**
	 * Beliefs to pass on, the least told first; counts them as told.
	 * @param most how many at the most
	 * @return the beliefs
	 */
	public synchronized List<Member> changes(int most) {
		int limit = TRANSMISSIONS_PER_LOG * (32 - Integer.numberOfLeadingZeros(this.entries.size()));
		List<Entry> untold = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.told < limit) {
				untold.add(entry);
			}
		}
		untold.sort((left, right) -> Integer.compare(left.told, right.told));
		List<Member> changes = new ArrayList<>();
		for (Entry entry : untold.subList(0, Math.min(most, untold.size()))) {
			entry.told++;
			changes.add(entry.member);
		}
		return changes;
	}

	/**
	 * Everything believed.
	 * @return all members
	 */
	public synchronized List<Member> members() {
		return this.entries.values().stream().map((entry) -> entry.member).toList();
	}

	/**
	 * The members that are taken for alive, this one included.
	 * @return alive members and suspects
	 */
	public synchronized List<Member> alive() {
		return members().stream()
			.filter((member) -> member.status() == Member.Status.ALIVE || member.status() == Member.Status.SUSPECT)
			.toList();
	}

	/**
	 * Whether more than half of the fleet answers. Members that left on purpose do not
	 * count; those that died within the last hour do.
	 * @return whether this side of a cut may be taken for the larger one
	 */
	public synchronized boolean majorityAlive() {
		int alive = 0;
		int known = 0;
		for (Entry entry : this.entries.values()) {
			if (entry.member.status() != Member.Status.LEAVING) {
				known++;
			}
			if (entry.member.status() == Member.Status.ALIVE) {
				alive++;
			}
		}
		return alive * 2 > known;
	}

	private void take(Member belief, long nowMs) {
		Entry entry = this.entries.get(belief.id());
		if (entry == null || belief.overrides(entry.member)) {
			this.entries.put(belief.id(), new Entry(belief, nowMs));
		}
	}

	private void refute(Member belief, long nowMs) {
		boolean rumour = belief.status() != Member.Status.ALIVE && belief.incarnation() >= this.self.incarnation();
		if (rumour && this.self.status() == Member.Status.ALIVE) {
			this.self = new Member(this.self.id(), this.self.address(), this.self.failureDomain(),
					belief.incarnation() + 1, Member.Status.ALIVE);
			this.entries.put(this.self.id(), new Entry(this.self, nowMs));
		}
	}

	private static boolean ended(Member member) {
		return member.status() == Member.Status.DEAD || member.status() == Member.Status.LEAVING;
	}

	private static final class Entry {

		private final Member member;

		private final long sinceMs;

		private int told;

		Entry(Member member, long sinceMs) {
			this.member = member;
			this.sinceMs = sinceMs;
		}

	}

}
