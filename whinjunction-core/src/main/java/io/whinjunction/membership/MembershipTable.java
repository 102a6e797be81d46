package io.whinjunction.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The entries of the fleet as one of them sees them.
 * <p>
 * Each member probes one other member per period. Updates are piggybacked on the probes,
 * each a bounded number of times, so that the traffic of a member does not grow with the
 * fleet. A member that receives a suspicion or report of its own death refutes it with a
 * higher incarnation.
 * <p>
 * Invariant: the local member is always alive in its own table until it leaves.
 * Thread-safe.
 */
public final class MembershipTable {

	/** Each update is passed on this many times the logarithm of the fleet size. */
	private static final int TRANSMISSIONS_PER_LOG = 3;

	/**
	 * How long a dead or departed member is retained; a dead one counts in the fleet
	 * until then.
	 */
	private static final long RETENTION_MS = 3_600_000;

	private final long suspicionMs;

	private final Map<String, Entry> entries = new HashMap<>();

	private Member self;

	/**
	 * Creates a table that contains only the local member.
	 * @param self the local member
	 * @param suspicionMs how long an unresponsive member remains a suspect, in
	 * milliseconds
	 */
	public MembershipTable(Member self, long suspicionMs) {
		this.self = self;
		this.suspicionMs = suspicionMs;
		this.entries.put(self.id(), new Entry(self, 0));
	}

	/**
	 * Returns the local member.
	 * @return its current state
	 */
	public synchronized Member self() {
		return this.self;
	}

	/**
	 * Merges updates from a peer.
	 * @param updates the states that the peer has sent
	 * @param nowMs the time
	 */
	public synchronized void merge(Collection<Member> updates, long nowMs) {
		for (Member update : updates) {
			if (update.id().equals(this.self.id())) {
				refute(update, nowMs);
			}
			else {
				apply(update, nowMs);
			}
		}
	}

	/**
	 * Records a direct exchange with a member.
	 * @param member the state that it reports of itself
	 * @param nowMs the time
	 */
	public synchronized void recordContact(Member member, long nowMs) {
		Entry entry = this.entries.get(member.id());
		if (entry == null || member.overrides(entry.member)) {
			apply(member, nowMs);
		}
		else if (entry.member.status() == Member.Status.SUSPECT && entry.member.incarnation() == member.incarnation()) {
			// The member has answered itself; suspicions elsewhere end when it refutes
			// them.
			this.entries.put(member.id(), new Entry(member, nowMs));
		}
	}

	/**
	 * Records that a member did not answer a probe.
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
	 * Declares suspects dead after the suspicion time and removes members whose retention
	 * has ended.
	 * @param nowMs the time
	 */
	public synchronized void tick(long nowMs) {
		List<Entry> dead = new ArrayList<>();
		this.entries.values().removeIf((entry) -> isGone(entry.member) && nowMs - entry.sinceMs > RETENTION_MS);
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
	 * Marks the local member as leaving.
	 * @param nowMs the time
	 */
	public synchronized void leave(long nowMs) {
		this.self = new Member(this.self.id(), this.self.address(), this.self.failureDomain(),
				this.self.incarnation() + 1, Member.Status.LEAVING);
		this.entries.put(this.self.id(), new Entry(this.self, nowMs));
	}

	/**
	 * Returns a random member to probe.
	 * @param random the source of randomness
	 * @return a member other than the local one, possibly a suspect, or {@code null}
	 */
	public synchronized Member probeTarget(RandomGenerator random) {
		List<Member> targets = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (!isGone(entry.member) && !entry.member.id().equals(this.self.id())) {
				targets.add(entry.member);
			}
		}
		return targets.isEmpty() ? null : targets.get(random.nextInt(targets.size()));
	}

	/**
	 * Returns updates to pass on, those with the fewest transmissions first, and counts
	 * them as transmitted.
	 * @param max the maximum number of updates
	 * @return the updates
	 */
	public synchronized List<Member> changes(int max) {
		int limit = TRANSMISSIONS_PER_LOG * (32 - Integer.numberOfLeadingZeros(this.entries.size()));
		List<Entry> pending = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.transmissions < limit) {
				pending.add(entry);
			}
		}
		pending.sort((left, right) -> Integer.compare(left.transmissions, right.transmissions));
		List<Member> changes = new ArrayList<>();
		for (Entry entry : pending.subList(0, Math.min(max, pending.size()))) {
			entry.transmissions++;
			changes.add(entry.member);
		}
		return changes;
	}

	/**
	 * Returns all members, whatever their status.
	 * @return all members
	 */
	public synchronized List<Member> members() {
		return this.entries.values().stream().map((entry) -> entry.member).toList();
	}

	/**
	 * Returns the members that are considered alive, including the local one.
	 * @return alive members and suspects
	 */
	public synchronized List<Member> alive() {
		return members().stream()
			.filter((member) -> member.status() == Member.Status.ALIVE || member.status() == Member.Status.SUSPECT)
			.toList();
	}

	/**
	 * Returns whether more than half of the fleet is alive. Members that left by
	 * intention are not counted; those that died within the last hour are.
	 * @return whether this side of a network partition may be considered the larger one
	 */
	public synchronized boolean majorityAlive() {
		int alive = 0;
		int counted = 0;
		for (Entry entry : this.entries.values()) {
			if (entry.member.status() != Member.Status.LEAVING) {
				counted++;
			}
			if (entry.member.status() == Member.Status.ALIVE) {
				alive++;
			}
		}
		return alive * 2 > counted;
	}

	private void apply(Member update, long nowMs) {
		Entry entry = this.entries.get(update.id());
		if (entry == null || update.overrides(entry.member)) {
			this.entries.put(update.id(), new Entry(update, nowMs));
		}
	}

	private void refute(Member update, long nowMs) {
		boolean refutable = update.status() != Member.Status.ALIVE && update.incarnation() >= this.self.incarnation();
		if (refutable && this.self.status() == Member.Status.ALIVE) {
			this.self = new Member(this.self.id(), this.self.address(), this.self.failureDomain(),
					update.incarnation() + 1, Member.Status.ALIVE);
			this.entries.put(this.self.id(), new Entry(this.self, nowMs));
		}
	}

	private static boolean isGone(Member member) {
		return member.status() == Member.Status.DEAD || member.status() == Member.Status.LEAVING;
	}

	private static final class Entry {

		private final Member member;

		private final long sinceMs;

		private int transmissions;

		Entry(Member member, long sinceMs) {
			this.member = member;
			this.sinceMs = sinceMs;
		}

	}

}
