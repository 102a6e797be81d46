package io.whinjunction.entry;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Json;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.standins.FakeObjectStore;
import io.whinjunction.standins.FakeObjectStore.Fault;
import io.whinjunction.time.Ticker;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationWatcher}.
 */
class ConfigurationWatcherTests {

	private static final long BOUND_MS = 1000;

	private final FakeObjectStore platform = new FakeObjectStore();

	private final List<String> asked = new ArrayList<>();

	private final Freshness freshness = new Freshness(BOUND_MS);

	private final ConfigurationWatcher watch = new ConfigurationWatcher(recording(), new ConfigurationHolder(),
			this.freshness, new Clock(), 1);

	private long nowMs;

	// Drafts break off on an entry that stood still: its proof ran out, and the question
	// for the next one waits for a change, which nobody makes, before it is answered. An
	// entry without a proof has to ask for it outright.
	@Test
	void anEntryWhoseProofRanOutAsksForOneAtOnce() {
		accept();
		this.watch.step();
		this.nowMs = 5000;
		this.asked.clear();
		assertThat(this.watch.step()).isTrue();
		assertThat(this.asked).containsExactly("read");
		assertThat(this.freshness.mayServe(this.nowMs)).isTrue();
		this.watch.step();
		assertThat(this.asked).containsExactly("read", "watch");
	}

	// The platform answers nothing. The loop pauses only after a step that failed.
	@Test
	void aProofThatIsNotHadIsAFailedStep() {
		accept();
		this.watch.step();
		this.nowMs = 5000;
		this.platform.fault(Fault.OUTAGE);
		assertThat(this.watch.step()).isFalse();
		assertThat(this.freshness.mayServe(this.nowMs)).isFalse();
	}

	// The platform lost the manifest. That proves nothing, and must not be asked without
	// a pause.
	@Test
	void aLostManifestIsNoProof() {
		accept();
		this.watch.step();
		this.nowMs = 5000;
		ObjectStore.Read.Found found = (ObjectStore.Read.Found) this.platform.read(Manifest.KEY);
		this.platform.remove(Manifest.KEY, found.version());
		assertThat(this.watch.step()).isFalse();
		assertThat(this.freshness.mayServe(this.nowMs)).isFalse();
	}

	@Test
	void anEntryWithoutAnyManifestWaitsForTheFirst() {
		this.watch.step();
		assertThat(this.asked).containsExactly("watch");
	}

	private void accept() {
		this.platform.write(Manifest.KEY, new Manifest(1, Json.object(), "n").toJson(), ObjectStore.ABSENT);
	}

	private ObjectStore recording() {
		return (ObjectStore) Proxy.newProxyInstance(ObjectStore.class.getClassLoader(),
				new Class<?>[] { ObjectStore.class }, (proxy, method, arguments) -> {
					this.asked.add(method.getName());
					return method.invoke(this.platform, arguments);
				});
	}

	private final class Clock implements Ticker {

		@Override
		public long nowMs() {
			return ConfigurationWatcherTests.this.nowMs;
		}

		@Override
		public void sleepMs(long durationMs) {
			throw new UnsupportedOperationException();
		}

	}

}
