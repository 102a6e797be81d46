package io.whinjunction.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.configuration.Team;
import io.whinjunction.limit.LimitOwner;
import io.whinjunction.limit.TeamLimits;
import io.whinjunction.membership.Member;
import io.whinjunction.membership.MembershipTable;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.protocol.generated.Digest;
import io.whinjunction.protocol.generated.LimitDemand;
import io.whinjunction.protocol.generated.LimitGrant;
import io.whinjunction.protocol.generated.ManifestDocument;
import io.whinjunction.protocol.generated.MemberTable;
import io.whinjunction.protocol.generated.Peer;
import io.whinjunction.time.Ticker;
import org.apache.thrift.TException;

/**
 * Exchanges state with other entries: members, the configuration's revision, leaving
 * upstreams, and shares of limits.
 * <p>
 * Invariant: every digest carries the revision, and an entry that receives a newer one
 * fetches the configuration before it counts the exchange as a confirmation. Thread-safe.
 */
public final class PeerNode implements Peer.Iface {

	/** Bounds the size of a digest regardless of the size of the fleet. */
	private static final int MAX_CHANGES = 16;

	private static final int MAX_LEAVING = 64;

	private static final long LOAN_MS = 3000;

	private final MembershipTable members;

	private final ConfigurationHolder configuration;

	private final Freshness freshness;

	private final UpstreamTable upstreams;

	private final LimitOwner owner = new LimitOwner();

	private final TeamLimits limits;

	private final PeerTransport transport;

	private final Ticker ticker;

	private final RandomGenerator random;

	/**
	 * Creates a node.
	 * @param state the state to exchange
	 * @param transport the connections to peers
	 * @param ticker the clock
	 * @param random the source of randomness
	 */
	public PeerNode(NodeState state, PeerTransport transport, Ticker ticker, RandomGenerator random) {
		this.members = state.members();
		this.configuration = state.configuration();
		this.freshness = state.freshness();
		this.upstreams = state.upstreams();
		this.limits = state.limits();
		this.transport = transport;
		this.ticker = ticker;
		this.random = random;
	}

	/**
	 * Exchanges with a random member, and also with a seed if there is no other member
	 * or, by chance, in one of eight calls.
	 * @param seeds addresses from the settings
	 */
	public void gossip(List<String> seeds) {
		this.members.tick(this.ticker.nowMs());
		Member target = this.members.probeTarget(this.random);
		if (target == null || this.random.nextInt(8) == 0) {
			joinBySeed(seeds);
		}
		if (target != null) {
			try {
				exchangeWith(target.address());
			}
			catch (TException ex) {
				this.members.suspect(target.id(), this.ticker.nowMs());
			}
		}
	}

	/**
	 * Exchanges digests with one peer.
	 * @param address the address of the peer
	 * @throws TException if it did not answer
	 */
	public void exchangeWith(String address) throws TException {
		long requestedAtMs = this.ticker.nowMs();
		Digest mine = digest();
		Digest theirs = this.transport.call(address, (client) -> client.exchange(mine));
		applyDigest(theirs, address, requestedAtMs);
	}

	/**
	 * Requests loans from the owners of the teams that need more than the base share.
	 */
	public void renewLoans() {
		List<Member> alive = this.members.alive();
		if (alive.isEmpty()) {
			// This entry is leaving and has no other member.
			return;
		}
		Map<String, Map<String, Double>> demandByOwner = new HashMap<>();
		Map<String, Member> owners = new HashMap<>();
		for (Team team : this.configuration.configuration().teams().values()) {
			Member teamOwner = ownerOf(team.name(), alive);
			if (!teamOwner.id().equals(this.members.self().id())) {
				this.owner.release(team.name());
			}
			double demand = this.limits.demandBeyondBase(team, alive.size(), this.ticker.nowMs());
			if (demand > 0) {
				owners.put(teamOwner.id(), teamOwner);
				demandByOwner.computeIfAbsent(teamOwner.id(), (id) -> new HashMap<>()).put(team.name(), demand);
			}
		}
		demandByOwner.forEach((id, demand) -> borrow(owners.get(id), demand));
	}

	@Override
	public Digest exchange(Digest digest) throws TException {
		long nowMs = this.ticker.nowMs();
		this.members.recordContact(PeerMessages.decode(digest.getSender()), nowMs);
		this.members.merge(PeerMessages.decode(digest.getChanges()), nowMs);
		digest.getLeavingUpstreams().forEach(this.upstreams::markLeaving);
		if (digest.getRevision() > this.configuration.configuration().revision()) {
			// Fetched in the background, so that this answer is not delayed.
			String address = digest.getSender().getAddress();
			Thread.startVirtualThread(() -> fetchInBackground(address));
		}
		return digest();
	}

	@Override
	public MemberTable members() {
		return new MemberTable(PeerMessages.encode(this.members.members()));
	}

	@Override
	public ManifestDocument manifest() {
		Manifest manifest = this.configuration.manifest();
		if (manifest == null) {
			return new ManifestDocument(0, ByteBuffer.allocate(0));
		}
		return new ManifestDocument(manifest.revision(),
				ByteBuffer.wrap(manifest.toJson().getBytes(StandardCharsets.UTF_8)));
	}

	@Override
	public long offerManifest(ManifestDocument message) {
		applyManifest(message);
		return this.configuration.configuration().revision();
	}

	@Override
	public LimitGrant lend(LimitDemand demand) {
		List<Member> alive = this.members.alive();
		Map<String, Double> shares = new HashMap<>();
		demand.getDemandPerSecond().forEach((name, wanted) -> {
			Team team = this.configuration.configuration().teams().get(name);
			if (team != null && !alive.isEmpty() && ownerOf(name, alive).id().equals(this.members.self().id())) {
				shares.put(name,
						this.owner.lend(name, team.ratePerSecond(), demand.getMember(), wanted, this.ticker.nowMs()));
			}
		});
		return new LimitGrant(LOAN_MS, shares);
	}

	private void borrow(Member from, Map<String, Double> demand) {
		long requestedAtMs = this.ticker.nowMs();
		LimitDemand message = new LimitDemand(this.members.self().id(), this.configuration.configuration().revision(),
				demand);
		try {
			LimitGrant grant = from.id().equals(this.members.self().id()) ? lend(message)
					: this.transport.call(from.address(), (client) -> client.lend(message));
			grant.getSharePerSecond().forEach((team, share) -> this.limits.grantLoan(team, share, requestedAtMs));
		}
		catch (TException ex) {
			// The base share remains; the next round contacts the owner at that time.
			this.members.suspect(from.id(), this.ticker.nowMs());
		}
	}

	private void joinBySeed(List<String> seeds) {
		if (seeds.isEmpty()) {
			return;
		}
		String seed = seeds.get(this.random.nextInt(seeds.size()));
		if (seed.equals(this.members.self().address())) {
			return;
		}
		try {
			exchangeWith(seed);
			MemberTable table = this.transport.call(seed, Peer.Client::members);
			this.members.merge(PeerMessages.decode(table.getMembers()), this.ticker.nowMs());
		}
		catch (TException ex) {
			// Seeds may have been replaced; the next round may try another.
		}
	}

	private void applyDigest(Digest theirs, String address, long requestedAtMs) throws TException {
		long nowMs = this.ticker.nowMs();
		this.members.recordContact(PeerMessages.decode(theirs.getSender()), nowMs);
		this.members.merge(PeerMessages.decode(theirs.getChanges()), nowMs);
		theirs.getLeavingUpstreams().forEach(this.upstreams::markLeaving);
		long held = this.configuration.configuration().revision();
		if (theirs.getRevision() > held) {
			applyManifest(this.transport.call(address, Peer.Client::manifest));
			held = this.configuration.configuration().revision();
		}
		if (theirs.getRevision() == held && theirs.getConfirmationAgeMs() >= 0) {
			this.freshness.confirmed(requestedAtMs - theirs.getConfirmationAgeMs());
		}
		if (theirs.getRevision() <= held) {
			this.freshness.exchanged(requestedAtMs, this.members.majorityAlive());
		}
	}

	private void fetchInBackground(String address) {
		try {
			applyManifest(this.transport.call(address, Peer.Client::manifest));
		}
		catch (TException ex) {
			// The next exchange retries the fetch.
		}
	}

	private void applyManifest(ManifestDocument message) {
		Manifest manifest = Manifest.parse(new String(message.getDocument(), StandardCharsets.UTF_8));
		if (manifest != null) {
			this.configuration.offer(manifest);
		}
	}

	private Digest digest() {
		// Random, so that eventually all are sent when an entire failure domain leaves.
		List<String> leaving = new ArrayList<>(this.upstreams.leavingIds());
		Collections.shuffle(leaving, this.random);
		return new Digest(PeerMessages.encode(this.members.self()), this.configuration.configuration().revision(),
				this.freshness.ageMs(this.ticker.nowMs()), PeerMessages.encode(this.members.changes(MAX_CHANGES)),
				leaving.subList(0, Math.min(MAX_LEAVING, leaving.size())));
	}

	// Rendezvous hashing: only the teams of a lost owner get a new owner.
	private static Member ownerOf(String team, List<Member> alive) {
		Member best = alive.get(0);
		long highest = Long.MIN_VALUE;
		for (Member member : alive) {
			long score = Hashing.komihash5_0().hashStream().putString(team).putString(member.id()).getAsLong();
			if (score > highest) {
				highest = score;
				best = member;
			}
		}
		return best;
	}

	/**
	 * The state that a node exchanges with its peers.
	 *
	 * @param members the members
	 * @param configuration the configuration
	 * @param freshness the freshness of the configuration
	 * @param upstreams the upstreams
	 * @param limits this entry's shares of the limits
	 */
	public record NodeState(MembershipTable members, ConfigurationHolder configuration, Freshness freshness,
			UpstreamTable upstreams, TeamLimits limits) {
	}

}
