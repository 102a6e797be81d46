package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.whinjunction.store.StoreVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a router handles changes of the list of upstreams from peers and from the
 * store.
 */
class DirectorySynchronizerTests {

	private static final long DRAIN_MS = 2000;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final EventLoop loop = this.channel.eventLoop();

	private final UpstreamDirectory directory = new UpstreamDirectory((upstream) -> {
	});

	private final PeerTable peers = new PeerTable("10.0.0.1:1", new Random(1));

	private final List<StoreVersion> requested = new ArrayList<>();

	private final List<Consumer<StoreReply<UpstreamListing>>> lists = new ArrayList<>();

	private final List<Consumer<StoreReply<UpstreamChanges>>> watches = new ArrayList<>();

	private long nowMs = 100_000;

	private int notified;

	private final DirectorySynchronizer synchronizer = new DirectorySynchronizer(context(), store(),
			new DirectorySynchronizer.Listener() {

				@Override
				public void changed() {
				}

				@Override
				public void notifyPeers() {
					DirectorySynchronizerTests.this.notified++;
				}

				@Override
				public void requestChanges(String address, StoreVersion after) {
					DirectorySynchronizerTests.this.requested.add(after);
				}

			}, () -> false, DRAIN_MS, new Random(2));

	@BeforeEach
	void list() {
		this.synchronizer.start();
		this.lists.getFirst()
			.accept(new StoreReply.Found<>(
					new UpstreamListing(List.of(upstream("a", 1), upstream("b", 1)), Versions.v(10))));
	}

	@Test
	void changesThatAPeerHasAreRequestedAndApplied() {
		receive(new UpstreamListState(Versions.v(12), 12, 0, true));

		assertThat(this.requested).containsExactly(Versions.v(10));

		this.synchronizer.peerChangesReceived(
				new UpstreamChanges(Versions.v(10), List.of(upstream("c", 1)), List.of("a"), Versions.v(12)));
		assertThat(this.directory.find("a")).isNull();
		assertThat(this.directory.find("c")).isNotNull();
		assertThat(this.synchronizer.state().version()).isEqualTo(Versions.v(12));
	}

	// A request would be sent to an upstream that has left, or to one that was never
	// listed: changes may arrive late, twice, from an earlier incarnation of a router or
	// from any sender that reaches the port. Changes are ignored unless they answer the
	// last request and reach back to the version of the list.
	@Test
	void unrequestedLateDuplicateOrIncompleteChangesAreIgnored() {
		UpstreamChanges changes = new UpstreamChanges(Versions.v(10), List.of(), List.of("a"), Versions.v(12));

		this.synchronizer.peerChangesReceived(changes);
		assertThat(this.directory.size()).isEqualTo(2);

		receive(new UpstreamListState(Versions.v(14), 12, 0, true));
		this.synchronizer
			.peerChangesReceived(new UpstreamChanges(Versions.v(11), List.of(), List.of("a"), Versions.v(14)));
		assertThat(this.directory.size()).isEqualTo(2);

		this.synchronizer.peerChangesReceived(changes);
		assertThat(this.directory.size()).isEqualTo(1);

		this.nowMs += 1000;
		receive(new UpstreamListState(Versions.v(16), 16, 0, true));
		this.synchronizer.peerChangesReceived(
				new UpstreamChanges(Versions.v(10), List.of(upstream("a", 1)), List.of(), Versions.v(12)));
		assertThat(this.directory.size()).isEqualTo(1);
		assertThat(this.synchronizer.state().version()).isEqualTo(Versions.v(12));
	}

	// Each renewal of a lease advances the revision of the store. Without this rule,
	// every router would request changes from its peers although nothing has changed.
	@Test
	void aLaterRevisionWithoutChangesIsAdoptedWithoutARequest() {
		receive(new UpstreamListState(Versions.v(40), 9, 0, true));

		assertThat(this.requested).isEmpty();
		assertThat(this.synchronizer.state().version()).isEqualTo(Versions.v(40));
		assertThat(this.synchronizer.state().changedAt()).isEqualTo(10);
	}

	@Test
	void changesReadFromTheStoreAreSentToPeers() {
		this.watches.getFirst()
			.accept(new StoreReply.Found<>(
					new UpstreamChanges(Versions.v(10), List.of(upstream("c", 1)), List.of(), Versions.v(13))));

		assertThat(this.notified).isEqualTo(1);
		assertThat(this.synchronizer.changesAfter(Versions.v(10)).changed()).containsExactly(upstream("c", 1));
	}

	// When the history of the store has been discarded, the changes found by listing are
	// passed on to peers, which need not list themselves.
	@Test
	void changesFoundByListingAreAvailableToPeers() {
		this.watches.getFirst().accept(new StoreReply.Outdated<>());
		this.lists.getLast()
			.accept(new StoreReply.Found<>(
					new UpstreamListing(List.of(upstream("a", 2), upstream("c", 1)), Versions.v(30))));

		assertThat(this.synchronizer.changesAfter(Versions.v(10))).isEqualTo(new UpstreamChanges(Versions.v(10),
				List.of(upstream("a", 2), upstream("c", 1)), List.of("b"), Versions.v(30)));
	}

	// Requests reach an upstream that has left: the watch that should have reported it
	// was lost in transit, and the router and its peers would take the list for the
	// newest.
	@Test
	void anOpenWatchProvesNothing() {
		this.nowMs += 5 * DRAIN_MS;

		assertThat(this.watches).hasSize(1);
		assertThat(this.synchronizer.state().ageMs()).isEqualTo(5 * DRAIN_MS);
	}

	// A delayed reply shows the list as of the time of its request.
	@Test
	void aReplyProvesTheListAsOfItsRequest() {
		this.nowMs += DRAIN_MS;
		this.watches.getFirst()
			.accept(new StoreReply.Found<>(new UpstreamChanges(Versions.v(10), List.of(), List.of(), Versions.v(11))));

		assertThat(this.synchronizer.state().ageMs()).isEqualTo(DRAIN_MS);
	}

	// A live upstream would be dropped although it registered again after the restore of
	// the store, because this router has not read the store since.
	@Test
	void anUpstreamMissingAfterARestoreIsDroppedOnlyByALaterProof() {
		this.synchronizer.storeRestored();
		advanceTime(DRAIN_MS);
		StoreVersion returned = new StoreVersion(1, 5);
		this.lists.getLast().accept(new StoreReply.Found<>(new UpstreamListing(List.of(upstream("b", 1)), returned)));
		advanceTime(3 * DRAIN_MS);
		assertThat(this.directory.find("a")).isNotNull();

		this.nowMs += 3 * DRAIN_MS;
		receive(new UpstreamListState(returned.at(6), 5, 0, true));
		advanceTime(DRAIN_MS);
		assertThat(this.directory.find("a")).isNull();
	}

	private void advanceTime(long durationMs) {
		this.channel.advanceTimeBy(durationMs, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private void receive(UpstreamListState state) {
		this.synchronizer.peerStateReceived("10.0.0.2:1", state, this.nowMs);
	}

	private static Upstream upstream(String id, int slots) {
		return new Upstream(id, Upstream.BORN_UNKNOWN, "s", "10.0.0." + (id.charAt(0) - 'a' + 1) + ":80", "a", slots,
				null, null, false);
	}

	private RouterContext context() {
		Map<String, Object> answers = Map.of("loop", this.loop, "directory", this.directory, "peers", this.peers);
		return (RouterContext) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { RouterContext.class },
				(proxy, method, args) -> answers.getOrDefault(method.getName(), this.nowMs));
	}

	private FleetStore store() {
		return (FleetStore) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] { FleetStore.class },
				(proxy, method, args) -> {
					if (method.getName().equals("listUpstreams")) {
						this.lists.add(consumer(args));
					}
					else if (method.getName().equals("watchUpstreams")) {
						this.watches.add(consumer(args));
					}
					return null;
				});
	}

	@SuppressWarnings("unchecked")
	private static <T> Consumer<StoreReply<T>> consumer(Object[] args) {
		return (Consumer<StoreReply<T>>) args[args.length - 1];
	}

}
