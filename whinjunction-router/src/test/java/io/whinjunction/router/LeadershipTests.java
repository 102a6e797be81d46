package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.netty.channel.embedded.EmbeddedChannel;
import io.whinjunction.store.StoreVersion;
import io.whinjunction.time.Ticker;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which writes of the lease a router recognizes as its own.
 */
class LeadershipTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final StoreEra era = new StoreEra();

	private final List<Consumer<StoreReply<LeaseObject>>> reads = new ArrayList<>();

	private final List<Consumer<StoreReply<LeaseObject>>> writes = new ArrayList<>();

	private final List<LeaseObject> written = new ArrayList<>();

	private final Leadership leadership = new Leadership(this.channel.eventLoop(), store(), "r", Ticker.system(),
			() -> false, () -> true);

	@Test
	void aWriteWhoseReplyWasLostIsRecognizedByItsNonce() {
		claim();
		readBack(new StoreVersion(0, 7));

		assertThat(this.leadership.holds()).isTrue();
	}

	// The write was carried out by the store before it was restored from an older
	// copy. Its fencing number belongs to an earlier era, and another router may hold
	// the same number.
	@Test
	void aWriteThatIsFoundInALaterEraDoesNotCount() {
		claim();
		readBack(new StoreVersion(1, 7));

		assertThat(this.leadership.holds()).isFalse();
	}

	private void claim() {
		this.leadership.start();
		this.reads.removeFirst().accept(new StoreReply.Absent<>());
		this.writes.removeFirst().accept(new StoreReply.Unavailable<>("no answer"));
	}

	private void readBack(StoreVersion version) {
		LeaseObject own = this.written.getFirst();
		this.reads.removeFirst()
			.accept(new StoreReply.Found<>(new LeaseObject(own.holder(), own.fencing(), own.nonce(), version)));
	}

	private FleetStore store() {
		return (FleetStore) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] { FleetStore.class },
				(proxy, method, args) -> {
					switch (method.getName()) {
						case "era" -> {
							return this.era;
						}
						case "readLease" -> this.reads.add(consumer(args[0]));
						case "writeLease" -> {
							this.written.add((LeaseObject) args[0]);
							this.writes.add(consumer(args[1]));
						}
						default -> throw new IllegalStateException("unexpected: " + method);
					}
					return null;
				});
	}

	@SuppressWarnings("unchecked")
	private static Consumer<StoreReply<LeaseObject>> consumer(Object argument) {
		return (Consumer<StoreReply<LeaseObject>>) argument;
	}

}
