package io.whinjunction.entry;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.time.Ticker;

/**
 * Follows the manifest in the object API. Confined to one thread.
 */
final class ConfigurationWatcher {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ObjectStore store;

	private final ConfigurationHolder configuration;

	private final Freshness freshness;

	private final Ticker ticker;

	private final long watchMs;

	private long seenVersion;

	ConfigurationWatcher(ObjectStore store, ConfigurationHolder configuration, Freshness freshness, Ticker ticker,
			long watchMs) {
		this.store = store;
		this.configuration = configuration;
		this.freshness = freshness;
		this.ticker = ticker;
		this.watchMs = watchMs;
	}

	/**
	 * Waits for a newer manifest once; where the proof of the one held has run out, asks
	 * for it at once, since a watch is answered only when its time is over.
	 * @return whether the platform answered; where it was asked for a proof, whether that
	 * is there
	 */
	boolean step() {
		long askedAtMs = this.ticker.nowMs();
		if (this.seenVersion > 0 && !this.freshness.mayServe(askedAtMs)) {
			if (this.store.read(Manifest.KEY) instanceof Read.Found found) {
				take(found, askedAtMs);
			}
			return this.freshness.mayServe(this.ticker.nowMs());
		}
		return switch (this.store.watch(Manifest.KEY, this.seenVersion, this.watchMs)) {
			case Read.Found found -> {
				take(found, askedAtMs);
				yield true;
			}
			case Read.Absent ignored -> {
				confirm(askedAtMs);
				yield true;
			}
			case Read.Unavailable ignored -> false;
		};
	}

	private void take(Read.Found found, long askedAtMs) {
		this.seenVersion = found.version();
		Manifest manifest = Manifest.parse(found.value());
		if (manifest == null) {
			logger.atSevere().log("the manifest at version %d cannot be read and is not taken", found.version());
			return;
		}
		if (this.configuration.offer(manifest)) {
			logger.atInfo().log("configuration revision %d is in force", manifest.revision());
		}
		if (manifest.revision() == this.configuration.configuration().revision()) {
			confirm(askedAtMs);
		}
		else {
			logger.atSevere()
				.log("the platform holds revision %d, this entry %d; a configuration never goes back",
						manifest.revision(), this.configuration.configuration().revision());
		}
	}

	private void confirm(long askedAtMs) {
		// Nothing newer at the platform proves something only about what came from it.
		if (this.seenVersion > 0) {
			this.freshness.confirmed(askedAtMs);
		}
	}

}
