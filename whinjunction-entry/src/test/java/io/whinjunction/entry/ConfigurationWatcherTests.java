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

	private static final long MAX_AGE_MS = 1000;

	private final FakeObjectStore platform = new FakeObjectStore();

	private final List<String> calls = new ArrayList<>();

	private final Freshness freshness = new Freshness(MAX_AGE_MS);

	private final ConfigurationWatcher watch = new ConfigurationWatcher(recording(), new ConfigurationHolder(),
			this.freshness, new TestTicker(), 1);

	private long nowMs;

	// Guards against drafts that break off after a suspension of the entry: its freshness
	// proof has expired, and a watch returns the next one only when the manifest changes
	// or the watch times out. An entry without a proof has to read the manifest instead.
	@Test
	void anEntryWhoseProofExpiredReadsTheManifestAtOnce() {
		accept();
		this.watch.step();
		this.nowMs = 5000;
		this.calls.clear();
		assertThat(this.watch.step()).isTrue();
		assertThat(this.calls).containsExactly("read");
		assertThat(this.freshness.mayServe(this.nowMs)).isTrue();
		this.watch.step();
		assertThat(this.calls).containsExactly("read", "watch");
	}

	// The platform does not respond. The step must report a failure, since the loop
	// delays its next step only then.
	@Test
	void aStepThatGetsNoProofFails() {
		accept();
		this.watch.step();
		this.nowMs = 5000;
		this.platform.fault(Fault.OUTAGE);
		assertThat(this.watch.step()).isFalse();
		assertThat(this.freshness.mayServe(this.nowMs)).isFalse();
	}

	// The platform has lost the manifest. This proves nothing, and must not be queried in
	// a busy loop.
	@Test
	void aMissingManifestIsNoProof() {
		accept();
		this.watch.step();
		this.nowMs = 5000;
		ObjectStore.Read.Found found = (ObjectStore.Read.Found) this.platform.read(Manifest.KEY);
		this.platform.remove(Manifest.KEY, found.version());
		assertThat(this.watch.step()).isFalse();
		assertThat(this.freshness.mayServe(this.nowMs)).isFalse();
	}

	@Test
	void anEntryWithoutAnyManifestWatchesForTheFirst() {
		this.watch.step();
		assertThat(this.calls).containsExactly("watch");
	}

	private void accept() {
		this.platform.write(Manifest.KEY, new Manifest(1, Json.object(), "n").toJson(), ObjectStore.ABSENT);
	}

	private ObjectStore recording() {
		return (ObjectStore) Proxy.newProxyInstance(ObjectStore.class.getClassLoader(),
				new Class<?>[] { ObjectStore.class }, (proxy, method, arguments) -> {
					this.calls.add(method.getName());
					return method.invoke(this.platform, arguments);
				});
	}

	private final class TestTicker implements Ticker {

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
