package io.whinjunction.promises;

import io.whinjunction.platform.ObjectStore;

/**
 * Store that runs an action before and after each read, write and removal, as if other
 * processes ran in between. Confined to one thread.
 */
final class InterleavedStore implements ObjectStore {

	private final ObjectStore store;

	private final Runnable between;

	InterleavedStore(ObjectStore store, Runnable between) {
		this.store = store;
		this.between = between;
	}

	@Override
	public Read read(String key) {
		this.between.run();
		Read read = this.store.read(key);
		this.between.run();
		return read;
	}

	@Override
	public Write write(String key, String value, long expectedVersion) {
		this.between.run();
		Write write = this.store.write(key, value, expectedVersion);
		this.between.run();
		return write;
	}

	@Override
	public Listing list(String prefix) {
		return this.store.list(prefix);
	}

	@Override
	public Write remove(String key, long expectedVersion) {
		this.between.run();
		Write write = this.store.remove(key, expectedVersion);
		this.between.run();
		return write;
	}

	@Override
	public Read watch(String key, long afterVersion, long timeoutMs) {
		return this.store.watch(key, afterVersion, timeoutMs);
	}

	@Override
	public Instances instances() {
		return this.store.instances();
	}

}
