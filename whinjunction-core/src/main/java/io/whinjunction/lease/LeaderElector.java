package io.whinjunction.lease;

import java.util.function.Supplier;

import io.whinjunction.configuration.Json;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.platform.ObjectStore.Read;
import io.whinjunction.platform.ObjectStore.Write;
import io.whinjunction.store.StoreVersion;
import io.whinjunction.time.Ticker;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ObjectNode;

/**
 * Holds a lease in the object API or waits for it.
 * <p>
 * {@link LeaseCandidate} makes the decisions; this class makes the calls. Confined to one
 * thread, except for {@link #holds()} and {@link #fencing()}.
 */
public final class LeaderElector {

	/** This store is never restored from an older copy. */
	private static final long ONLY_ERA = 0;

	private final ObjectStore store;

	private final String key;

	private final String holder;

	private final LeaseCandidate candidate;

	private final Ticker ticker;

	private final Supplier<String> nonces;

	/**
	 * Creates a candidate that does not hold the lease.
	 * @param store the object API
	 * @param key the key of the lease's object
	 * @param holder the name of this process
	 * @param timeToLiveMs after how long without renewal other candidates take over, in
	 * milliseconds
	 * @param ticker the clock
	 * @param nonces a source of values that no other writer uses
	 */
	public LeaderElector(ObjectStore store, String key, String holder, long timeToLiveMs, Ticker ticker,
			Supplier<String> nonces) {
		this.store = store;
		this.key = key;
		this.holder = holder;
		this.candidate = new LeaseCandidate(holder, timeToLiveMs);
		this.ticker = ticker;
		this.nonces = nonces;
	}

	/**
	 * Renews the lease or tries to take it over; called several times per time to live.
	 */
	public void renewOrAcquire() {
		long startMs = this.ticker.nowMs();
		switch (this.store.read(this.key)) {
			case Read.Found found -> evaluate(found, startMs);
			case Read.Absent ignored ->
				this.candidate.absent(ONLY_ERA, startMs).ifPresent((claim) -> write(claim, startMs));
			case Read.Unavailable ignored -> {
				// No renewal is possible; holds() becomes false when the lease expires.
			}
		}
	}

	/**
	 * Returns whether this process may act as the holder now.
	 * @return {@code false} as soon as another process might hold the lease
	 */
	public boolean holds() {
		return this.candidate.holds(this.ticker.nowMs());
	}

	/**
	 * Returns the fencing number to send with orders.
	 * @return the number of the last lease held
	 */
	public long fencing() {
		return this.candidate.fencing();
	}

	/**
	 * Releases the lease, so that other candidates need not wait for its expiry.
	 */
	public void resign() {
		if (holds() && this.store.read(this.key) instanceof Read.Found found
				&& Record.parse(found.value()).holder().equals(this.holder)) {
			this.candidate.lost();
			this.store.write(this.key, new Record("", this.candidate.fencing(), this.nonces.get()).toJson(),
					found.version());
		}
	}

	private void evaluate(Read.Found found, long startMs) {
		Record record = Record.parse(found.value());
		this.candidate.seen(record.holder(), record.fencing(), version(found.version()), this.ticker.nowMs())
			.ifPresent((claim) -> write(claim, startMs));
	}

	private void write(LeaseCandidate.Claim claim, long startMs) {
		String nonce = this.nonces.get();
		Record record = new Record(this.holder, claim.fencing(), nonce);
		Write write = this.store.write(this.key, record.toJson(), claim.expectedVersion().revision());
		if (write instanceof Write.Written written) {
			this.candidate.written(claim, version(written.version()), startMs);
		}
		else if (write instanceof Write.Uncertain && readBack(nonce)) {
			this.candidate.written(claim, claim.expectedVersion(), startMs);
		}
	}

	private static StoreVersion version(long revision) {
		return new StoreVersion(ONLY_ERA, revision);
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
