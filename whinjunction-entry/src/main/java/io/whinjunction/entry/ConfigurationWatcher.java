package io.whinjunction.entry;

import com.google.common.flogger.FluentLogger;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.configuration.Manifest;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.time.Ticker;

/**
 * Watches the manifest in the object API and offers new revisions to the configuration
 * holder. Confined to one thread.
 */
final class ConfigurationWatcher {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ObjectStore store;

	private final ConfigurationHolder configuration;

	private final Freshness freshness;

	private final Ticker ticker;

	private final long watchTimeoutMs;

	private long seenVersion;

	ConfigurationWatcher(ObjectStore store, ConfigurationHolder configuration, Freshness freshness, Ticker ticker,
			long watchTimeoutMs) {
		this.store = store;
		this.configuration = configuration;
		this.freshness = freshness;
		this.ticker = ticker;
		this.watchTimeoutMs = watchTimeoutMs;
	}

	/**
	 * Watches once for a newer manifest. If the freshness proof of the current one has
	 * expired, reads the manifest instead, since a watch without a change returns only
	 * after its timeout.
	 * @return whether the platform answered; after a read for a new proof, whether a
	 * valid proof is now held
	 */
	boolean step() {
		long requestedAtMs = this.ticker.nowMs();
		if (this.seenVersion > 0 && !this.freshness.mayServe(requestedAtMs)) {
			if (this.store.read(Manifest.KEY) instanceof Read.Found found) {
				take(found, requestedAtMs);
			}
			return this.freshness.mayServe(this.ticker.nowMs());
		}
		return switch (this.store.watch(Manifest.KEY, this.seenVersion, this.watchTimeoutMs)) {
			case Read.Found found -> {
				take(found, requestedAtMs);
				yield true;
			}
			case Read.Absent ignored -> {
				confirm(requestedAtMs);
				yield true;
			}
			case Read.Unavailable ignored -> false;
		};
	}

	private void take(Read.Found found, long requestedAtMs) {
		this.seenVersion = found.version();
		Manifest manifest = Manifest.parse(found.value());
		if (manifest == null) {
			logger.atSevere().log("manifest at version %d cannot be parsed and is ignored", found.version());
			return;
		}
		if (this.configuration.offer(manifest)) {
			logger.atInfo().log("configuration revision %d is in force", manifest.revision());
		}
		if (manifest.revision() == this.configuration.configuration().revision()) {
			confirm(requestedAtMs);
		}
		else {
			logger.atSevere()
				.log("the platform holds configuration revision %d, but this entry has %d; older revisions are ignored",
						manifest.revision(), this.configuration.configuration().revision());
		}
	}

	private void confirm(long requestedAtMs) {
		// The absence of a newer manifest proves only that a manifest read from the
		// platform is current.
		if (this.seenVersion > 0) {
			this.freshness.confirmed(requestedAtMs);
		}
	}

}
