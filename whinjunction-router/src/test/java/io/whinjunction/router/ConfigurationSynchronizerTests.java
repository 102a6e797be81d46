package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.embedded.EmbeddedChannel;
import io.whinjunction.proof.ConfigurationProof;
import io.whinjunction.routing.CallerLimits;
import io.whinjunction.routing.RoutingConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * From where a router gets a version that a peer reports.
 */
class ConfigurationSynchronizerTests {

	private static final String PEER = "10.0.0.2:1";

	private static final long KEYS_MS = 4400;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<Consumer<StoreReply<ConfigurationDocument>>> reads = new ArrayList<>();

	private final List<Consumer<StoreReply<FleetStore.Fetched>>> fetches = new ArrayList<>();

	private final ConfigurationProof proof = new ConfigurationProof(KEYS_MS, 2000);

	private long nowMs = 100_000;

	private final ConfigurationSynchronizer synchronizer = new ConfigurationSynchronizer(this.channel.eventLoop(),
			store(), this.proof, () -> this.nowMs, 2000, () -> false, () -> {
			}, new StoreEra(), new Random(1));

	@BeforeEach
	void readFirstVersion() {
		this.channel.freezeTime();
		this.synchronizer.start();
		this.reads.removeFirst().accept(new StoreReply.Found<>(document(1)));
	}

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	// 71 routers that learn of a version within a second would read the store 71 times.
	@Test
	void aRouterOfALargeFleetFetchesANewVersionFromThePeerThatReportsIt() {
		this.synchronizer.routersCounted(71);
		this.nowMs += 1000;

		this.synchronizer.peerVersionReceived(2, this.nowMs, PEER);
		this.synchronizer.peerVersionReceived(2, this.nowMs, PEER);
		this.fetches.removeFirst().accept(new StoreReply.Found<>(new FleetStore.Fetched(document(2), 300)));

		assertThat(this.fetches).isEmpty();
		assertThat(this.reads).isEmpty();
		assertThat(this.synchronizer.configuration().version()).isEqualTo(2);
		assertThat(this.proof.ageMs(this.nowMs)).isEqualTo(300);
	}

	@Test
	void aRouterOfASmallFleetReadsTheStore() {
		this.synchronizer.routersCounted(9);

		this.synchronizer.peerVersionReceived(2, this.nowMs, PEER);

		assertThat(this.reads).hasSize(1);
		assertThat(this.fetches).isEmpty();
	}

	// Guards against a revoked key that works on because the peer that reports the newer
	// version fails before it sends it.
	@Test
	void theStoreIsReadWhereThePeerFails() {
		this.synchronizer.routersCounted(71);

		this.synchronizer.peerVersionReceived(2, this.nowMs, PEER);
		this.fetches.removeFirst().accept(new StoreReply.Unavailable<>("no answer"));

		assertThat(this.reads).hasSize(1);
	}

	@Test
	void theStoreIsReadWhereThePeerIsSilentForAThirdOfASecond() {
		this.synchronizer.routersCounted(71);

		this.synchronizer.peerVersionReceived(2, this.nowMs, PEER);
		this.channel.advanceTimeBy(310, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();

		assertThat(this.reads).hasSize(1);
	}

	private static ConfigurationDocument document(long version) {
		return new ConfigurationDocument(
				new RoutingConfiguration(version, List.of(), List.of(), CallerLimits.DEFAULT, false, List.of()),
				new byte[0]);
	}

	private FleetStore store() {
		return (FleetStore) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] { FleetStore.class },
				(proxy, method, args) -> {
					switch (method.getName()) {
						case "readConfiguration" -> this.reads.add(consumer(args[0]));
						case "fetchConfiguration" -> this.fetches.add(consumer(args[1]));
						default -> throw new IllegalStateException("unexpected: " + method);
					}
					return null;
				});
	}

	@SuppressWarnings("unchecked")
	private static <T> Consumer<StoreReply<T>> consumer(Object argument) {
		return (Consumer<StoreReply<T>>) argument;
	}

}
