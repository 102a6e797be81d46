package io.whinjunction.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import io.whinjunction.platform.ObjectStore;

/**
 * An in-memory implementation of the platform's object API with injectable faults.
 * Thread-safe.
 */
public final class FakeObjectStore implements ObjectStore {

	private final TreeMap<String, StoredObject> objects = new TreeMap<>();

	private final Map<String, Instance> instances = new LinkedHashMap<>();

	private final AtomicLong writeCount = new AtomicLong();

	private long lastVersion;

	private volatile Fault fault = Fault.NONE;

	/**
	 * Sets the fault to simulate.
	 * @param fault the fault
	 */
	public void fault(Fault fault) {
		this.fault = fault;
	}

	/**
	 * Returns the fault being simulated.
	 * @return the fault
	 */
	public Fault fault() {
		return this.fault;
	}

	/**
	 * Adds an instance to the list, or replaces it.
	 * @param instance the instance
	 */
	public synchronized void putInstance(Instance instance) {
		this.instances.put(instance.id(), instance);
	}

	/**
	 * Removes an instance from the list.
	 * @param id the instance's id
	 */
	public synchronized void removeInstance(String id) {
		this.instances.remove(id);
	}

	/**
	 * Returns the number of writes and removals that took effect.
	 * @return the number of writes
	 */
	public long writeCount() {
		return this.writeCount.get();
	}

	@Override
	public synchronized Read read(String key) {
		if (this.fault == Fault.OUTAGE) {
			return new Read.Unavailable("outage");
		}
		StoredObject object = this.objects.get(key);
		return (object != null) ? new Read.Found(object.version(), object.value()) : new Read.Absent();
	}

	@Override
	public synchronized Write write(String key, String value, long expectedVersion) {
		if (this.fault == Fault.OUTAGE) {
			return new Write.Uncertain("outage");
		}
		StoredObject object = this.objects.get(key);
		long version = (object != null) ? object.version() : ABSENT;
		if (version != expectedVersion) {
			return new Write.Conflict();
		}
		this.objects.put(key, new StoredObject(key, ++this.lastVersion, value));
		this.writeCount.incrementAndGet();
		notifyAll();
		return applyReplyFault(new Write.Written(this.lastVersion));
	}

	@Override
	public synchronized Write remove(String key, long expectedVersion) {
		if (this.fault == Fault.OUTAGE) {
			return new Write.Uncertain("outage");
		}
		StoredObject object = this.objects.get(key);
		if (object == null || object.version() != expectedVersion) {
			return new Write.Conflict();
		}
		this.objects.remove(key);
		this.writeCount.incrementAndGet();
		return applyReplyFault(new Write.Written(expectedVersion));
	}

	@Override
	public synchronized Listing list(String prefix) {
		if (this.fault == Fault.OUTAGE) {
			return new Listing.Unavailable("outage");
		}
		List<StoredObject> found = new ArrayList<>();
		for (StoredObject object : this.objects.tailMap(prefix).values()) {
			if (!object.key().startsWith(prefix)) {
				break;
			}
			found.add(object);
		}
		return new Listing.Objects(found);
	}

	@Override
	public synchronized Read watch(String key, long afterVersion, long timeoutMs) {
		long endMs = System.nanoTime() / 1_000_000 + timeoutMs;
		while (this.fault != Fault.OUTAGE) {
			StoredObject object = this.objects.get(key);
			if (object != null && object.version() > afterVersion) {
				return new Read.Found(object.version(), object.value());
			}
			long leftMs = endMs - System.nanoTime() / 1_000_000;
			if (leftMs <= 0) {
				return new Read.Absent();
			}
			try {
				// Waits at most 50 ms at a time, so that a fault set meanwhile ends the
				// watch.
				wait(Math.min(leftMs, 50));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return new Read.Unavailable("interrupted");
			}
		}
		return new Read.Unavailable("outage");
	}

	@Override
	public synchronized Instances instances() {
		if (this.fault == Fault.OUTAGE) {
			return new Instances.Unavailable("outage");
		}
		return new Instances.Listed(List.copyOf(this.instances.values()));
	}

	private Write applyReplyFault(Write write) {
		if (this.fault == Fault.LOST_REPLY_ONCE) {
			this.fault = Fault.NONE;
			return new Write.Uncertain("reply lost");
		}
		if (this.fault == Fault.LOST_REPLY_THEN_OUTAGE) {
			this.fault = Fault.OUTAGE;
			return new Write.Uncertain("reply lost");
		}
		return write;
	}

	/**
	 * A fault of the platform.
	 */
	public enum Fault {

		/** No fault. */
		NONE,
		/** No call is answered or takes effect. */
		OUTAGE,
		/** Calls over HTTP take one second longer; calls in the process do not. */
		SLOW,
		/** The next write takes effect, and its reply is lost. */
		LOST_REPLY_ONCE,
		/** The next write takes effect, its reply is lost, and an outage begins. */
		LOST_REPLY_THEN_OUTAGE

	}

}
