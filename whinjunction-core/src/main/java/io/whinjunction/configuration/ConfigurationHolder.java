package io.whinjunction.configuration;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The configuration in force in this process.
 * <p>
 * Invariant: the revision never goes down and a manifest that fails its checks is never
 * taken. Safe for all threads.
 */
public final class ConfigurationHolder {

	private final AtomicReference<Held> held = new AtomicReference<>(new Held(null, Configuration.EMPTY));

	/**
	 * What is in force.
	 * @return the configuration; {@link Configuration#EMPTY} before the first manifest
	 */
	public Configuration configuration() {
		return this.held.get().configuration();
	}

	/**
	 * The manifest in force.
	 * @return the manifest, or {@code null} before the first
	 */
	public Manifest manifest() {
		return this.held.get().manifest();
	}

	/**
	 * Takes a manifest where it is newer than the one in force.
	 * @param manifest what was read or offered
	 * @return whether it is in force now
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
