package io.whinjunction.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

import io.whinjunction.routing.CallerLimits;
import io.whinjunction.routing.RoutingConfiguration;
import io.whinjunction.store.StoreVersion;

/**
 * A store in simulated time whose calls and replies are delayed or lost, and which is
 * restored from older copies of itself. Not thread-safe.
 */
final class SimulatedStore {

	private static final long CALL_MS = 1000;

	private static final long LEASE_CALL_MS = 400;

	private final Random random;

	private final Function<String, StoreReply<FleetStore.Fetched>> peers;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	private final List<State> history = new ArrayList<>();

	private final List<Watch> watches = new ArrayList<>();

	private State state = new State(1, Map.of(), 1, null);

	private long era = 1;

	private long nowMs;

	private long order;

	private boolean unavailable;

	private boolean calm;

	/**
	 * Creates a store.
	 * @param random the source of randomness
	 * @param peers returns the configuration of a router by its address
	 */
	SimulatedStore(Random random, Function<String, StoreReply<FleetStore.Fetched>> peers) {
		this.random = random;
		this.peers = peers;
	}

	long nowMs() {
		return this.nowMs;
	}

	long era() {
		return this.era;
	}

	/** Stops all delays and losses. */
	void calm() {
		this.calm = true;
	}

	private boolean rarely(int oneIn) {
		return !this.calm && this.random.nextInt(oneIn) == 0;
	}

	boolean unavailable() {
		return this.unavailable;
	}

	long configurationVersion() {
		return this.state.configurationVersion;
	}

	Map<String, Upstream> upstreams() {
		return this.state.upstreams;
	}

	void tick(long newNowMs) {
		this.nowMs = newNowMs;
		while (!this.events.isEmpty() && this.events.peek().atMs <= newNowMs) {
			this.events.poll().run.run();
		}
	}

	void later(long pauseMs, Runnable run) {
		this.events.add(new Event(this.nowMs + pauseMs, this.order++, run));
	}

	void configure(long version) {
		write(new State(this.state.revision + 1, this.state.upstreams, version, this.state.lease));
	}

	void list(Upstream upstream) {
		Map<String, Upstream> upstreams = new HashMap<>(this.state.upstreams);
		upstreams.put(upstream.id(), upstream);
		write(new State(this.state.revision + 1, Map.copyOf(upstreams), this.state.configurationVersion,
				this.state.lease));
		List.copyOf(this.watches).forEach(Watch::end);
	}

	private void write(State newer) {
		this.history.add(this.state);
		this.state = newer;
	}

	/**
	 * Makes the store unavailable for a while, then restores its state of some writes
	 * ago.
	 */
	void restore(int writesAgo, long unavailableMs) {
		this.unavailable = true;
		this.watches.clear();
		later(unavailableMs, () -> {
			this.unavailable = false;
			this.era++;
			for (int write = 0; write < writesAgo && !this.history.isEmpty(); write++) {
				this.state = this.history.removeLast();
			}
		});
	}

	/**
	 * Returns the store as one router sees it.
	 * @param reaches whether calls and replies of the router get through at present
	 * @param eraReceived the era as the router knows it
	 */
	FleetStore seenBy(Reach reaches, StoreEra eraReceived) {
		return new View(reaches, eraReceived);
	}

	static ConfigurationDocument document(long version) {
		return new ConfigurationDocument(
				new RoutingConfiguration(version, List.of(), List.of(), CallerLimits.DEFAULT, false, List.of()),
				new byte[0]);
	}

	/** Returns whether a router currently reaches the store. */
	interface Reach {

		boolean now();

	}

	private record Event(long atMs, long order, Runnable run) {
	}

	private record State(long revision, Map<String, Upstream> upstreams, long configurationVersion, Lease lease) {
	}

	private record Lease(String holder, long fencing, String nonce, long revision) {
	}

	/** An open watch for changes. */
	private final class Watch {

		private final Runnable answer;

		private Watch(Runnable answer) {
			this.answer = answer;
		}

		private void end() {
			if (SimulatedStore.this.watches.remove(this)) {
				this.answer.run();
			}
		}

	}

	/** The store as seen by one router. */
	private final class View implements FleetStore {

		private final Reach reach;

		private final StoreEra knownEra;

		private View(Reach reach, StoreEra knownEra) {
			this.reach = reach;
			this.knownEra = knownEra;
		}

		@Override
		public StoreEra era() {
			return this.knownEra;
		}

		private <T> void call(StoreEra.Query query, long limitMs, Consumer<Answer<T>> work,
				Consumer<StoreReply<T>> done) {
			boolean[] ended = new boolean[1];
			Consumer<StoreReply<T>> once = (reply) -> {
				if (!ended[0]) {
					ended[0] = true;
					done.accept(reply);
				}
			};
			later(limitMs, () -> once.accept(new StoreReply.Unavailable<>("no answer")));
			if (!this.reach.now() || rarely(20)) {
				return;
			}
			later(delayMs(), () -> {
				if (!SimulatedStore.this.unavailable) {
					work.accept((reply) -> answer(query, reply, once));
				}
			});
		}

		private <T> void answer(StoreEra.Query query, StoreReply<T> reply, Consumer<StoreReply<T>> done) {
			long replyEra = SimulatedStore.this.era;
			if (!rarely(20)) {
				later(delayMs(), () -> {
					if (this.reach.now()) {
						done.accept(this.knownEra.validate(query, replyEra, reply));
					}
				});
			}
		}

		private long delayMs() {
			return rarely(15) ? SimulatedStore.this.random.nextInt(3000) : 1 + SimulatedStore.this.random.nextInt(20);
		}

		@Override
		public void readConfiguration(Consumer<StoreReply<ConfigurationDocument>> done) {
			this.<ConfigurationDocument>call(this.knownEra.unboundQuery(), CALL_MS, (answer) -> answer
				.send(new StoreReply.Found<>(document(SimulatedStore.this.state.configurationVersion))), done);
		}

		@Override
		public void fetchConfiguration(String peerAddress, Consumer<StoreReply<Fetched>> done) {
			later(delayMs(), () -> done.accept(SimulatedStore.this.peers.apply(peerAddress)));
		}

		@Override
		public void listUpstreams(Consumer<StoreReply<UpstreamListing>> done) {
			this.<UpstreamListing>call(this.knownEra.unboundQuery(), CALL_MS, (answer) -> {
				State now = SimulatedStore.this.state;
				answer.send(new StoreReply.Found<>(new UpstreamListing(List.copyOf(now.upstreams.values()),
						new StoreVersion(SimulatedStore.this.era, now.revision))));
			}, done);
		}

		@Override
		public void watchUpstreams(StoreVersion after, long waitMs, Consumer<StoreReply<UpstreamChanges>> done) {
			this.<UpstreamChanges>call(this.knownEra.boundQuery(after.era()), waitMs + CALL_MS, (answer) -> {
				if (after.revision() > SimulatedStore.this.state.revision) {
					answer.send(new StoreReply.Outdated<>());
					return;
				}
				Watch watch = new Watch(() -> answer.send(new StoreReply.Found<>(changes(after))));
				SimulatedStore.this.watches.add(watch);
				if (changes(after).size() > 0) {
					watch.end();
				}
				later(waitMs, watch::end);
			}, done);
		}

		private UpstreamChanges changes(StoreVersion after) {
			Map<String, Upstream> then = SimulatedStore.this.history.stream()
				.filter((state) -> state.revision == after.revision())
				.findFirst()
				.orElse(SimulatedStore.this.state)
				.upstreams();
			List<Upstream> changed = SimulatedStore.this.state.upstreams.values()
				.stream()
				.filter((upstream) -> !upstream.equals(then.get(upstream.id())))
				.toList();
			return new UpstreamChanges(after, changed, List.of(), after.at(SimulatedStore.this.state.revision));
		}

		@Override
		public void announce(String name, String address, Consumer<StoreReply<List<String>>> done) {
			done.accept(new StoreReply.Found<>(List.of()));
		}

		@Override
		public void readLease(Consumer<StoreReply<LeaseObject>> done) {
			this.<LeaseObject>call(this.knownEra.unboundQuery(), LEASE_CALL_MS, (answer) -> {
				Lease lease = SimulatedStore.this.state.lease;
				answer.send((lease != null) ? new StoreReply.Found<>(object(lease)) : new StoreReply.Absent<>());
			}, done);
		}

		@Override
		public void writeLease(LeaseObject lease, Consumer<StoreReply<LeaseObject>> done) {
			this.<LeaseObject>call(this.knownEra.boundQuery(lease.version().era()), LEASE_CALL_MS, (answer) -> {
				State now = SimulatedStore.this.state;
				long currentRevision = (now.lease != null) ? now.lease.revision : 0;
				if (currentRevision != lease.version().revision()) {
					answer.send(new StoreReply.Outdated<>());
					return;
				}
				Lease written = new Lease(lease.holder(), lease.fencing(), lease.nonce(), now.revision + 1);
				write(new State(now.revision + 1, now.upstreams, now.configurationVersion, written));
				answer.send(new StoreReply.Found<>(object(written)));
			}, done);
		}

		@Override
		public void readCrashing(Consumer<StoreReply<List<String>>> done) {
			done.accept(new StoreReply.Found<>(List.of()));
		}

		@Override
		public void recordCrashing(String name, Consumer<StoreReply<Boolean>> done) {
			throw new IllegalStateException("no request runs in the model");
		}

		@Override
		public void removeCrashing(String name, Consumer<StoreReply<Boolean>> done) {
			throw new IllegalStateException("no request runs in the model");
		}

		private LeaseObject object(Lease lease) {
			return new LeaseObject(lease.holder, lease.fencing, lease.nonce,
					new StoreVersion(SimulatedStore.this.era, lease.revision));
		}

	}

	/** Sends a reply. */
	private interface Answer<T> {

		void send(StoreReply<T> reply);

	}

}
