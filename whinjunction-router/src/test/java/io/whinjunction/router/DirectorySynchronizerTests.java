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
 * What a router does with changes of the list of upstreams that others tell.
 */
class DirectorySynchronizerTests {

	private static final long DRAIN_MS = 2000;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final EventLoop loop = this.channel.eventLoop();

	private final UpstreamDirectory directory = new UpstreamDirectory((upstream) -> {
	});

	private final PeerTable peers = new PeerTable("10.0.0.1:1", new Random(1));

	private final List<StoreVersion> asked = new ArrayList<>();

	private final List<Consumer<StoreReply<UpstreamListing>>> lists = new ArrayList<>();

	private final List<Consumer<StoreReply<UpstreamChanges>>> watches = new ArrayList<>();

	private long nowMs = 100_000;

	private int told;

	private final DirectorySynchronizer keeper = new DirectorySynchronizer(context(), store(), new DirectorySynchronizer.Listener() {

		@Override
		public void changed() {
		}

		@Override
		public void notifyPeers() {
			DirectorySynchronizerTests.this.told++;
		}

		@Override
		public void requestChanges(String address, StoreVersion after) {
			DirectorySynchronizerTests.this.asked.add(after);
		}

	}, () -> false, DRAIN_MS, new Random(2));

	@BeforeEach
	void list() {
		this.keeper.start();
		this.lists.getFirst()
			.accept(new StoreReply.Found<>(
					new UpstreamListing(List.of(upstream("a", 1), upstream("b", 1)), Versions.v(10))));
	}

	@Test
	void whatAnotherRouterKnowsBeyondOnesOwnListIsAskedForAndApplied() {
		hear(new UpstreamListState(Versions.v(12), 12, 0, true));

		assertThat(this.asked).containsExactly(Versions.v(10));

		this.keeper.peerChangesReceived(new UpstreamChanges(Versions.v(10), List.of(upstream("c", 1)), List.of("a"), Versions.v(12)));
		assertThat(this.directory.find("a")).isNull();
		assertThat(this.directory.find("c")).isNotNull();
		assertThat(this.keeper.state().version()).isEqualTo(Versions.v(12));
	}

	// A request goes to an upstream that has left, or to one that nobody listed: changes
	// come late, twice, from another life of a router or from whoever reaches the port.
	// What doesn't answer the last question, or doesn't reach back to the list, is
	// passed over.
	@Test
	void changesThatAreUnaskedLateDoubledOrCutShortChangeNothing() {
		UpstreamChanges changes = new UpstreamChanges(Versions.v(10), List.of(), List.of("a"), Versions.v(12));

		this.keeper.peerChangesReceived(changes);
		assertThat(this.directory.size()).isEqualTo(2);

		hear(new UpstreamListState(Versions.v(14), 12, 0, true));
		this.keeper.peerChangesReceived(new UpstreamChanges(Versions.v(11), List.of(), List.of("a"), Versions.v(14)));
		assertThat(this.directory.size()).isEqualTo(2);

		this.keeper.peerChangesReceived(changes);
		assertThat(this.directory.size()).isEqualTo(1);

		this.nowMs += 1000;
		hear(new UpstreamListState(Versions.v(16), 16, 0, true));
		this.keeper.peerChangesReceived(new UpstreamChanges(Versions.v(10), List.of(upstream("a", 1)), List.of(), Versions.v(12)));
		assertThat(this.directory.size()).isEqualTo(1);
		assertThat(this.keeper.state().version()).isEqualTo(Versions.v(12));
	}

	// Each lease that is renewed moves the store's revision on, and each router would ask
	// each other one what has changed: nothing has.
	@Test
	void aLaterRevisionWithoutChangesIsTakenOverWithoutAQuestion() {
		hear(new UpstreamListState(Versions.v(40), 9, 0, true));

		assertThat(this.asked).isEmpty();
		assertThat(this.keeper.state().version()).isEqualTo(Versions.v(40));
		assertThat(this.keeper.state().changedAt()).isEqualTo(10);
	}

	@Test
	void whatTheStoreSaysIsToldToOthers() {
		this.watches.getFirst()
			.accept(new StoreReply.Found<>(
					new UpstreamChanges(Versions.v(10), List.of(upstream("c", 1)), List.of(), Versions.v(13))));

		assertThat(this.told).isEqualTo(1);
		assertThat(this.keeper.changesAfter(Versions.v(10)).changed()).containsExactly(upstream("c", 1));
	}

	// The history is gone, and everybody would have to list anew: what the new list has
	// changed is told like any change.
	@Test
	void whatANewListHasChangedIsKnownToThoseWhoAsk() {
		this.watches.getFirst().accept(new StoreReply.Outdated<>());
		this.lists.getLast()
			.accept(new StoreReply.Found<>(
					new UpstreamListing(List.of(upstream("a", 2), upstream("c", 1)), Versions.v(30))));

		assertThat(this.keeper.changesAfter(Versions.v(10))).isEqualTo(new UpstreamChanges(Versions.v(10),
				List.of(upstream("a", 2), upstream("c", 1)), List.of("b"), Versions.v(30)));
	}

	// Requests reach an upstream that has left: the wait that should have told of it was
	// lost on the way, and its router and others take the list for the newest.
	@Test
	void aWaitThatIsStillOpenProvesNothing() {
		this.nowMs += 5 * DRAIN_MS;

		assertThat(this.watches).hasSize(1);
		assertThat(this.keeper.state().ageMs()).isEqualTo(5 * DRAIN_MS);
	}

	// An answer that was held up on its way tells how the list was when it was asked for.
	@Test
	void anAnswerProvesTheListAsOfItsQuestion() {
		this.nowMs += DRAIN_MS;
		this.watches.getFirst()
			.accept(new StoreReply.Found<>(new UpstreamChanges(Versions.v(10), List.of(), List.of(), Versions.v(11))));

		assertThat(this.keeper.state().ageMs()).isEqualTo(DRAIN_MS);
	}

	// An upstream that lives is given up: it has written itself again after the store's
	// return, and this router hasn't read since.
	@Test
	void whoeverTheStoreHasLostIsGivenUpOnlyByALaterProof() {
		this.keeper.storeRestored();
		pass(DRAIN_MS);
		StoreVersion returned = new StoreVersion(1, 5);
		this.lists.getLast().accept(new StoreReply.Found<>(new UpstreamListing(List.of(upstream("b", 1)), returned)));
		pass(3 * DRAIN_MS);
		assertThat(this.directory.find("a")).isNotNull();

		this.nowMs += 3 * DRAIN_MS;
		hear(new UpstreamListState(returned.at(6), 5, 0, true));
		pass(DRAIN_MS);
		assertThat(this.directory.find("a")).isNull();
	}

	private void pass(long durationMs) {
		this.channel.advanceTimeBy(durationMs, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private void hear(UpstreamListState state) {
		this.keeper.peerStateReceived("10.0.0.2:1", state, this.nowMs);
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
