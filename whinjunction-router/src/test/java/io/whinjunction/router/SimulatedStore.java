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
 * A store in simulated time, whose calls and answers are late or lost, and which comes
 * back from older copies of itself. For one thread.
 */
final class SimulatedStore {

	private static final long CALL_MS = 1000;

	private static final long LEASE_CALL_MS = 400;

	private final Random random;

	private final Function<String, StoreReply<FleetStore.Fetched>> peers;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	private final List<State> history = new ArrayList<>();

	private final List<Wait> waits = new ArrayList<>();

	private State state = new State(1, Map.of(), 1, null);

	private long era = 1;

	private long nowMs;

	private long order;

	private boolean away;

	private boolean calm;

	/**
	 * A store.
	 * @param random the source of chance
	 * @param peers the configuration of a router, by its address
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

	/** From now on nothing is late or lost. */
	void calm() {
		this.calm = true;
	}

	private boolean rarely(int oneIn) {
		return !this.calm && this.random.nextInt(oneIn) == 0;
	}

	boolean away() {
		return this.away;
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
		List.copyOf(this.waits).forEach(Wait::end);
	}

	private void write(State newer) {
		this.history.add(this.state);
		this.state = newer;
	}

	/** Is away for a while, and then comes back as it was some writes ago. */
	void comeBack(int writesAgo, long awayMs) {
		this.away = true;
		this.waits.clear();
		later(awayMs, () -> {
			this.away = false;
			this.era++;
			for (int write = 0; write < writesAgo && !this.history.isEmpty(); write++) {
				this.state = this.history.removeLast();
			}
		});
	}

	/**
	 * What a router sees of it.
	 * @param reaches whether its calls and their answers get through now
	 * @param eraHeard the router's era
	 */
	FleetStore seenBy(Reach reaches, StoreEra eraHeard) {
		return new View(reaches, eraHeard);
	}

	static ConfigurationDocument document(long version) {
		return new ConfigurationDocument(
				new RoutingConfiguration(version, List.of(), List.of(), CallerLimits.DEFAULT, List.of()), new byte[0]);
	}

	/** Whether a router reaches the store. */
	interface Reach {

		boolean now();

	}

	private record Event(long atMs, long order, Runnable run) {
	}

	private record State(long revision, Map<String, Upstream> upstreams, long configurationVersion, Lease lease) {
	}

	private record Lease(String holder, long fencing, String nonce, long revision) {
	}

	/** A wait for changes that is open. */
	private final class Wait {

		private final Runnable answer;

		private Wait(Runnable answer) {
			this.answer = answer;
		}

		private void end() {
			if (SimulatedStore.this.waits.remove(this)) {
				this.answer.run();
			}
		}

	}

	/** The store by the calls of one router. */
	private final class View implements FleetStore {

		private final Reach reach;

		private final StoreEra heard;

		private View(Reach reach, StoreEra heard) {
			this.reach = reach;
			this.heard = heard;
		}

		@Override
		public StoreEra era() {
			return this.heard;
		}

		private <T> void call(StoreEra.Query question, long limitMs, Consumer<Answer<T>> work,
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
				if (!SimulatedStore.this.away) {
					work.accept((reply) -> answer(question, reply, once));
				}
			});
		}

		private <T> void answer(StoreEra.Query question, StoreReply<T> reply, Consumer<StoreReply<T>> done) {
			long saidEra = SimulatedStore.this.era;
			if (!rarely(20)) {
				later(delayMs(), () -> {
					if (this.reach.now()) {
						done.accept(this.heard.validate(question, saidEra, reply));
					}
				});
			}
		}

		private long delayMs() {
			return rarely(15) ? SimulatedStore.this.random.nextInt(3000) : 1 + SimulatedStore.this.random.nextInt(20);
		}

		@Override
		public void readConfiguration(Consumer<StoreReply<ConfigurationDocument>> done) {
			this.<ConfigurationDocument>call(this.heard.unboundQuery(), CALL_MS, (answer) -> answer
				.give(new StoreReply.Found<>(document(SimulatedStore.this.state.configurationVersion))), done);
		}

		@Override
		public void fetchConfiguration(String peerAddress, Consumer<StoreReply<Fetched>> done) {
			later(delayMs(), () -> done.accept(SimulatedStore.this.peers.apply(peerAddress)));
		}

		@Override
		public void listUpstreams(Consumer<StoreReply<UpstreamListing>> done) {
			this.<UpstreamListing>call(this.heard.unboundQuery(), CALL_MS, (answer) -> {
				State now = SimulatedStore.this.state;
				answer.give(new StoreReply.Found<>(new UpstreamListing(List.copyOf(now.upstreams.values()),
						new StoreVersion(SimulatedStore.this.era, now.revision))));
			}, done);
		}

		@Override
		public void watchUpstreams(StoreVersion after, long waitMs, Consumer<StoreReply<UpstreamChanges>> done) {
			this.<UpstreamChanges>call(this.heard.boundQuery(after.era()), waitMs + CALL_MS, (answer) -> {
				if (after.revision() > SimulatedStore.this.state.revision) {
					answer.give(new StoreReply.Outdated<>());
					return;
				}
				Wait wait = new Wait(() -> answer.give(new StoreReply.Found<>(changes(after))));
				SimulatedStore.this.waits.add(wait);
				if (changes(after).size() > 0) {
					wait.end();
				}
				later(waitMs, wait::end);
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
			this.<LeaseObject>call(this.heard.unboundQuery(), LEASE_CALL_MS, (answer) -> {
				Lease lease = SimulatedStore.this.state.lease;
				answer.give((lease != null) ? new StoreReply.Found<>(object(lease)) : new StoreReply.Absent<>());
			}, done);
		}

		@Override
		public void writeLease(LeaseObject lease, Consumer<StoreReply<LeaseObject>> done) {
			this.<LeaseObject>call(this.heard.boundQuery(lease.version().era()), LEASE_CALL_MS, (answer) -> {
				State now = SimulatedStore.this.state;
				long standing = (now.lease != null) ? now.lease.revision : 0;
				if (standing != lease.version().revision()) {
					answer.give(new StoreReply.Outdated<>());
					return;
				}
				Lease written = new Lease(lease.holder(), lease.fencing(), lease.nonce(), now.revision + 1);
				write(new State(now.revision + 1, now.upstreams, now.configurationVersion, written));
				answer.give(new StoreReply.Found<>(object(written)));
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

	/** Gives a reply on its way. */
	private interface Answer<T> {

		void give(StoreReply<T> reply);

	}

}
