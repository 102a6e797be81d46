package io.whinjunction.lease;

import java.util.function.Supplier;

import io.whinjunction.configuration.Json;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.platform.ObjectStore.Write;
import io.whinjunction.time.Ticker;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Holds, or waits for, a lease in the object API.
 * <p>
 * No clock is compared between processes: a candidate takes over after it has itself seen
 * the lease unchanged for the whole time to live. A holder may be paused and believe that
 * it holds on; therefore it stops acting a while earlier by its own clock, and everything
 * it orders carries a fencing number that goes up with each change of holder.
 * <p>
 * Invariants: fencing numbers only go up; {@link #holds()} is true only within
 * {@link #ACT_PART} of the time to live after the start of the last renewal that the
 * platform confirmed. Confined to one thread, but for {@link #holds()} and
 * {@link #fencing()}.
 */
public final class LeaseKeeper {

	/** The part of the time to live during which a holder acts. */
	static final double ACT_PART = 0.6;

	private final ObjectStore store;

	private final String key;

	private final String holder;

	private final long timeToLiveMs;

	private final Ticker ticker;

	private final Supplier<String> nonces;

	private long seenVersion = -1;

	private long seenSinceMs;

	private volatile long renewedAtMs = Long.MIN_VALUE / 2;

	private volatile long fencing;

	/**
	 * A candidate.
	 * @param store the object API
	 * @param key the lease's object
	 * @param holder this process
	 * @param timeToLiveMs after how long without renewal others take over
	 * @param ticker the clock
	 * @param nonces values that no other writer has
	 */
	public LeaseKeeper(ObjectStore store, String key, String holder, long timeToLiveMs, Ticker ticker,
			Supplier<String> nonces) {
		this.store = store;
		this.key = key;
		this.holder = holder;
		this.timeToLiveMs = timeToLiveMs;
		this.ticker = ticker;
		this.nonces = nonces;
	}

	/**
	 * Renews or tries to take over; called a few times per time to live.
	 */
	public void step() {
		long startMs = this.ticker.nowMs();
		switch (this.store.read(this.key)) {
			case Read.Found found -> consider(found, startMs);
			case Read.Absent ignored -> write(1, ObjectStore.ABSENT, startMs);
			case Read.Unavailable ignored -> {
				// Nothing can be renewed; holds() runs out by itself.
			}
		}
	}

	/**
	 * Whether this process may act as the holder now.
	 * @return {@code false} as soon as another might hold it
	 */
	public boolean holds() {
		return this.ticker.nowMs() - this.renewedAtMs < this.timeToLiveMs * ACT_PART;
	}

	/**
	 * The fencing number to put on orders.
	 * @return the number of the last lease held
	 */
	public long fencing() {
		return this.fencing;
	}

	/**
	 * Gives the lease up, so that another need not wait.
	 */
	public void resign() {
		if (holds() && this.store.read(this.key) instanceof Read.Found found
				&& Record.parse(found.value()).holder().equals(this.holder)) {
			this.renewedAtMs = Long.MIN_VALUE / 2;
			this.store.write(this.key, new Record("", this.fencing, this.nonces.get()).toJson(), found.version());
		}
	}

	private void consider(Read.Found found, long startMs) {
		Record record = Record.parse(found.value());
		if (found.version() != this.seenVersion) {
			this.seenVersion = found.version();
			this.seenSinceMs = startMs;
		}
		// A name alone does not prove it: an earlier life of this process may have
		// been the holder.
		boolean ours = record.holder().equals(this.holder) && record.fencing() == this.fencing && holds();
		boolean lapsed = startMs - this.seenSinceMs >= this.timeToLiveMs || record.holder().isEmpty();
		if (ours) {
			write(record.fencing(), found.version(), startMs);
		}
		else if (lapsed) {
			write(record.fencing() + 1, found.version(), startMs);
		}
	}

	private void write(long newFencing, long expectedVersion, long startMs) {
		String nonce = this.nonces.get();
		Record record = new Record(this.holder, newFencing, nonce);
		Write write = this.store.write(this.key, record.toJson(), expectedVersion);
		boolean taken = write instanceof Write.Written || (write instanceof Write.Uncertain && readBack(nonce));
		if (taken) {
			this.fencing = newFencing;
			this.renewedAtMs = startMs;
		}
	}

	private boolean readBack(String nonce) {
		return this.store.read(this.key) instanceof Read.Found found
				&& Record.parse(found.value()).nonce().equals(nonce);
	}

	private record Record(String holder, long fencing, String nonce) {

		String toJson() {
			ObjectNode node = Json.object();
			node.put("holder", this.holder);
			node.put("fencing", this.fencing);
			node.put("nonce", this.nonce);
			return node.toString();
		}

		static Record parse(String json) {
			try {
				JsonNode node = Json.MAPPER.readTree(json);
				return new Record(node.path("holder").asString(""), node.path("fencing").asLong(0),
						node.path("nonce").asString(""));
			}
			catch (JacksonException ex) {
				return new Record("", 0, "");
			}
		}

	}

}
