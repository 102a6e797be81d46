package io.whinjunction.configuration;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the configuration in effect in this process.
 * <p>
 * Invariant: the revision never decreases, and an invalid manifest is never accepted.
 * Thread-safe.
 */
public final class ConfigurationHolder {

	private final AtomicReference<Held> held = new AtomicReference<>(new Held(null, Configuration.EMPTY));

	/**
	 * Returns the configuration in effect.
	 * @return the configuration; {@link Configuration#EMPTY} before the first manifest
	 */
	public Configuration configuration() {
		return this.held.get().configuration();
	}

	/**
	 * Returns the manifest in effect.
	 * @return the manifest, or {@code null} before the first
	 */
	public Manifest manifest() {
		return this.held.get().manifest();
	}

	/**
	 * Accepts a manifest if it is valid and newer than the one in effect.
	 * @param manifest the manifest that was read or received
	 * @return whether it is in effect now
	 */
	public boolean offer(Manifest manifest) {
		if (manifest.revision() <= configuration().revision()) {
			return false;
		}
		ConfigurationReader.Checked checked = ConfigurationReader.check("manifest", manifest.document(),
				manifest.revision());
		if (!(checked instanceof ConfigurationReader.Checked.Valid valid)) {
			return false;
		}
		Held offered = new Held(manifest, valid.configuration());
		Held now = this.held.accumulateAndGet(offered,
				(old, update) -> (update.configuration().revision() > old.configuration().revision()) ? update : old);
		return now == offered;
	}

	private record Held(Manifest manifest, Configuration configuration) {
	}

}
