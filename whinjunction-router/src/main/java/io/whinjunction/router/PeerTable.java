package io.whinjunction.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The other routers: who is there, what they said last, and whom to ask next.
 * <p>
 * The failures it is there for: a router that is cut off from the store can still prove
 * its configuration through another one; routers that count only their own requests
 * overfill an engine that they share; and each of them finds a dead engine anew. Its
 * proof is safe by order alone, without common clocks: the other one wrote its answer
 * after it was asked, so a proof that was {@code age} old then is at most that much older
 * than the question.
 * <p>
 * Not safe for threads: confined to the event loop.
 */
final class PeerTable {

	/** A router that was not heard for this long is taken for gone, in milliseconds. */
	static final long SILENT_MS = 1500;

	/**
	 * A router that was not heard for this long leaves its place to another, in
	 * milliseconds: of a large fleet each is heard every few seconds.
	 */
	private static final long THERE_MS = 20_000;

	/** Routers are remembered this long for shares that must not grow by a cut. */
	private static final long REMEMBERED_MS = 60_000;

	/**
	 * How many routers one can hear before they count as silent, by its own questions and
	 * others' to it.
	 */
	private static final double MOST_HEARD = 2.0 * PeerLink.FANOUT * SILENT_MS / PeerLink.PERIOD_MS;

	/** A silent router is asked in one period of this many. */
	private static final int SILENT_ASKED_EACH = 4;

	/** Bounds a message whatever the fleet's size. */
	private static final int MOST_ROUTERS_TOLD = 8;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final String self;

	private final RandomGenerator random;

	private final Map<String, Peer> byAddress = new HashMap<>();

	private final HeardRouters heard = new HeardRouters(SILENT_MS);

	/** When questions were asked, by their numbers; the oldest in front. */
	private final LinkedHashMap<Long, Long> askedAtMs = new LinkedHashMap<>();

	private long sequence;

	private long leaderHeardAtMs = NEVER_MS;

	private long leaderLeftAtMs = NEVER_MS;

	/**
	 * A table.
	 * @param self this router's own address, which is never asked
	 * @param random the source of chance
	 */
	PeerTable(String self, RandomGenerator random) {
		this.self = self;
		this.random = random;
	}

	/**
	 * Hears of addresses.
	 * @param addresses where routers may be
	 */
	void addresses(List<String> addresses) {
		for (String address : addresses) {
			if (!address.equals(this.self)) {
				this.byAddress.computeIfAbsent(address, (ignored) -> new Peer());
			}
		}
	}

	/**
	 * Begins a question.
	 * @param bootMs the time, on the clock of proofs
	 * @return the question's number
	 */
	long ask(long bootMs) {
		this.sequence++;
		this.askedAtMs.put(this.sequence, bootMs);
		while (bootMs - this.askedAtMs.firstEntry().getValue() > REMEMBERED_MS) {
			this.askedAtMs.pollFirstEntry();
		}
		return this.sequence;
	}

	/**
	 * Takes what another router said.
	 * @param status what it said
	 * @param nowMs the time
	 */
	void update(PeerStatus status, long nowMs) {
		if (status.address().equals(this.self)) {
			return;
		}
		Peer peer = this.byAddress.computeIfAbsent(status.address(), (ignored) -> new Peer());
		peer.status = status;
		peer.heardAtMs = nowMs;
		this.heard.heard(status, nowMs);
		hearOfLeader(status, nowMs);
		addresses(status.routers());
	}

	/**
	 * When the proof in an answer holds.
	 * @param status the answer
	 * @return the time on the clock of proofs, or {@link Long#MIN_VALUE} where it proves
	 * nothing
	 */
	long provedAtMs(PeerStatus status) {
		return heldAtMs(status, status.proofAgeMs());
	}

	/**
	 * When another router's list of upstreams was the newest for certain, by its answer.
	 * @param status the answer
	 * @return the time on the clock of proofs, or {@link Long#MIN_VALUE} where it proves
	 * nothing
	 */
	long listProvedAtMs(PeerStatus status) {
		return heldAtMs(status, status.list().ageMs());
	}

	private long heldAtMs(PeerStatus status, long ageMs) {
		Long askedMs = status.answer() ? this.askedAtMs.get(status.sequence()) : null;
		return (askedMs == null || ageMs < 0) ? Long.MIN_VALUE : askedMs - ageMs;
	}

	/**
	 * Chooses whom to ask.
	 * @param most how many at most
	 * @param nowMs the time
	 * @return addresses; one in four of routers that are silent, so that a cut that has
	 * healed is noticed
	 */
	List<String> targets(int most, long nowMs) {
		List<String> heard = this.heard.addresses(nowMs);
		List<String> targets = new ArrayList<>(most + 1);
		while (targets.size() < most && !heard.isEmpty()) {
			targets.add(takeAny(heard));
		}
		if (targets.isEmpty() || this.random.nextInt(SILENT_ASKED_EACH) == 0) {
			List<String> silent = silent(nowMs);
			if (!silent.isEmpty()) {
				targets.add(takeAny(silent));
			}
		}
		return targets;
	}

	// The last one takes the place of the one that is taken, so that nothing is moved.
	private String takeAny(List<String> addresses) {
		String last = addresses.removeLast();
		int index = this.random.nextInt(addresses.size() + 1);
		return (index == addresses.size()) ? last : addresses.set(index, last);
	}

	/**
	 * Chooses routers that were not heard lately.
	 * @param most how many at most
	 * @param nowMs the time
	 * @return addresses
	 */
	List<String> silent(int most, long nowMs) {
		List<String> silent = silent(nowMs);
		List<String> chosen = new ArrayList<>(most);
		while (chosen.size() < most && !silent.isEmpty()) {
			chosen.add(takeAny(silent));
		}
		return chosen;
	}

	private List<String> silent(long nowMs) {
		List<String> silent = new ArrayList<>();
		for (String address : this.byAddress.keySet()) {
			if (!this.heard.contains(address, nowMs)) {
				silent.add(address);
			}
		}
		return silent;
	}

	/**
	 * How many routers were heard lately.
	 * @param nowMs the time
	 * @return the number, this one left out
	 */
	int activeCount(long nowMs) {
		return this.heard.count(nowMs);
	}

	/**
	 * The routers that a caller whom this one refuses may reach: those of the same
	 * failure domain, or where there are no others, all. Of a large fleet only as many
	 * count as known as can be heard in time.
	 * @param failureDomain the failure domain of this router
	 * @param nowMs the time
	 * @return how many are known and how many of them serve
	 */
	ReachablePeers others(String failureDomain, long nowMs) {
		List<Peer> known = this.byAddress.values().stream().filter((peer) -> peer.status != null).toList();
		List<Peer> near = known.stream().filter((peer) -> peer.status.failureDomain().equals(failureDomain)).toList();
		List<Peer> reachable = near.isEmpty() ? known : near;
		long serving = reachable.stream().filter((peer) -> serves(peer, nowMs)).count();
		double heard = Math.min(1, MOST_HEARD / Math.max(1, this.byAddress.size()));
		return new ReachablePeers((int) Math.round(reachable.size() * heard), (int) serving);
	}

	private static boolean serves(Peer peer, long nowMs) {
		return alive(peer, nowMs) && !peer.status.leaving() && peer.status.version() >= 0
				&& peer.status.proofAgeMs() >= 0;
	}

	/**
	 * Memory that other routers' requests take up at an engine.
	 * <p>
	 * The load it answers: of a large fleet, a router hears a part in the time after
	 * which the rest counts as silent. Adding up that part alone would make an engine
	 * look emptier than it is. Those that can't have been heard are taken for alike to
	 * those that were.
	 * @param engineId the engine's incarnation
	 * @param nowMs the time
	 * @return tokens times layers, by what they said last
	 */
	long tokenLayersAt(String engineId, long nowMs) {
		double unheard = Math.max(1, this.byAddress.size() / MOST_HEARD);
		return (long) (this.heard.tokenLayersAt(engineId, nowMs) * unheard);
	}

	/**
	 * How many other routers wait at the store for changes of the list of upstreams.
	 * @param nowMs the time
	 * @return the number, known routers that weren't heard taken for alike to those that
	 * were; 0 where none was
	 */
	double listWatchers(long nowMs) {
		int count = this.heard.count(nowMs);
		return (count > 0) ? (double) this.heard.listWatchers(nowMs) * this.byAddress.size() / count : 0;
	}

	private void hearOfLeader(PeerStatus status, long nowMs) {
		if (status.leading() && status.leaving()) {
			// It gives the lease up: somebody has to look for it at once, whatever is
			// still passed on of earlier words.
			this.leaderLeftAtMs = nowMs;
		}
		else if (status.leading()) {
			this.leaderHeardAtMs = nowMs;
		}
		else if (status.leaderAgeMs() >= 0) {
			this.leaderHeardAtMs = Math.max(this.leaderHeardAtMs, nowMs - status.leaderAgeMs());
		}
	}

	/**
	 * The age of the newest word from whoever holds the lease.
	 * @param nowMs the time
	 * @return milliseconds; -1 where none is younger than {@link #SILENT_MS}
	 */
	long leaderAgeMs(long nowMs) {
		return hasLeader(nowMs) ? nowMs - this.leaderHeardAtMs : -1;
	}

	/**
	 * Whether another router said a moment ago that it holds the lease, or was heard to
	 * by others.
	 * <p>
	 * The load it answers: in the time after which one counts as silent, a router of a
	 * large fleet hears only some others, seldom the holder itself, and would read the
	 * lease again and again.
	 * @param nowMs the time
	 * @return whether nobody else needs to look for it
	 */
	boolean hasLeader(long nowMs) {
		return nowMs - this.leaderHeardAtMs < SILENT_MS && this.leaderHeardAtMs > this.leaderLeftAtMs;
	}

	/**
	 * How much slower than usual an engine works, as whoever surveys them says.
	 * @param engineId the engine's name
	 * @param nowMs the time
	 * @return 1 where nobody says that it is slow
	 */
	double slowdownOf(String engineId, long nowMs) {
		return this.heard.paceOf(engineId, nowMs);
	}

	/**
	 * How many routers share what all may do: those known by address, whether heard or
	 * not, since a router that is cut off must not take over the others' parts.
	 * @param nowMs the time
	 * @return the number, this one included
	 */
	int routerCount(long nowMs) {
		this.byAddress.values().removeIf((peer) -> peer.status != null && nowMs - peer.heardAtMs > REMEMBERED_MS);
		return 1 + this.byAddress.size();
	}

	/**
	 * Whether this router is the one that does what only one should do. Routers that have
	 * heard different ones may choose two.
	 * @param key what is to be done
	 * @param nowMs the time
	 * @return whether no other router that is there is nearer to the key
	 */
	boolean nearestTo(long key, long nowMs) {
		return nearer(key, nowMs) == 0;
	}

	private long nearer(long key, long nowMs) {
		int own = distance(this.self, key);
		return this.byAddress.entrySet()
			.stream()
			.filter((peer) -> there(peer.getValue(), nowMs) && distance(peer.getKey(), key) < own)
			.count();
	}

	private static boolean there(Peer peer, long nowMs) {
		return peer.status != null && nowMs - peer.heardAtMs < THERE_MS;
	}

	/**
	 * This router's part of what only a few routers do. Those that are gone leave their
	 * place to others; the part of each stays the same, so that one that hears nobody
	 * doesn't take all.
	 * @param key what is to be done
	 * @param most how many routers do it at most
	 * @param nowMs the time
	 * @return the part of each of them; 0 where this one is none of them
	 */
	double shareOf(long key, int most, long nowMs) {
		int doing = Math.min(most, routerCount(nowMs));
		return (nearer(key, nowMs) < doing) ? 1.0 / doing : 0;
	}

	private static int distance(String address, long key) {
		return (address + key).hashCode() & Integer.MAX_VALUE;
	}

	/**
	 * Addresses to tell others.
	 * @param nowMs the time
	 * @return some routers that were heard lately
	 */
	List<String> toTell(long nowMs) {
		return this.heard.newestStaying(MOST_ROUTERS_TOLD, nowMs);
	}

	private static boolean alive(Peer peer, long nowMs) {
		return peer.status != null && nowMs - peer.heardAtMs < SILENT_MS;
	}

	/**
	 * Routers beside this one. Immutable.
	 *
	 * @param known how many are known
	 * @param serving how many of them take requests, as far as was heard
	 */
	record ReachablePeers(int known, int serving) {

		/**
		 * Whether a caller that is refused here finds one that serves.
		 * <p>
		 * A balancer that has less than half of a failure domain's processes left sends
		 * to all of them again, also to those that stop or are gone: with drafts refused
		 * there too, some callers would find nobody at all.
		 * @return whether half of all, this one included, serve
		 */
		boolean suffice() {
			return this.serving > 0 && 2 * this.serving >= this.known + 1;
		}

	}

	/** A router that is known by address; confined to the table. */
	private static final class Peer {

		private PeerStatus status;

		private long heardAtMs;

	}

}
