package io.whinjunction.router;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.whinjunction.proof.ConfigurationProof;
import io.whinjunction.routing.RoutingConfiguration;
import io.whinjunction.time.BootClock;

/**
 * Keeps the local copy of the configuration current and proves that it is the newest.
 * <p>
 * One linearizable read does both. A router repeats it only if no peer has proved the
 * same version within {@link #READ_PERIOD_RATIO} of the time by which an accepted
 * configuration has to be in force. A few routers read earlier than the rest, so the
 * fleet reads the store a few times per period instead of once per router. The others
 * fetch a new version from the peer that reports it, with the age of its proof.
 * <p>
 * {@link ConfigurationFreshness} decides which reads prove anything after the store has
 * been restored from an older copy.
 * <p>
 * Invariants: the version in force never decreases; no version is proved while a peer
 * reports a later one. Confined to the event loop.
 */
final class ConfigurationSynchronizer {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Age of the proof at which a router reads, as a ratio of the time by which an
	 * accepted configuration has to be in force.
	 */
	private static final double READ_PERIOD_RATIO = 0.5;

	/**
	 * The same ratio for the few routers that watch the store for changes of upstreams.
	 * One read renews the proof of the whole fleet, so all proofs expire together;
	 * routers that read earlier notify the rest before those read too.
	 */
	private static final double EARLY_READ_PERIOD_RATIO = 0.25;

	/**
	 * Upper bound of the random jitter of the read interval, as a ratio of the same time.
	 */
	private static final double JITTER_RATIO = 0.125;

	/**
	 * The same for the routers that read early: long enough for the first proof to reach
	 * most of the others.
	 */
	private static final double EARLY_JITTER_RATIO = 0.25;

	/**
	 * How long a starting router waits for its peers to report their versions, in
	 * milliseconds: several times the usual response time.
	 */
	private static final long PEER_RESPONSE_TIMEOUT_MS = 300;

	/**
	 * The number of routers from which on a router that does not read early fetches a new
	 * version from the peer that reports it. A smaller fleet reads the store a few times
	 * for each version, and gains nothing.
	 */
	private static final int MIN_ROUTERS_FETCHING = 16;

	/**
	 * How long a peer may take to send its configuration until it is read from the store
	 * too, in milliseconds: several times the usual response time.
	 */
	private static final long FETCH_LATE_MS = 300;

	/** Delay before a failed read is retried, in milliseconds: four calls per second. */
	private static final long RETRY_MS = 250;

	/** Minimum interval between two log lines about slow replies, in seconds. */
	private static final int SLOW_LOG_INTERVAL_S = 5;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final EventLoop loop;

	private final FleetStore store;

	private final long inForceMs;

	private final BooleanSupplier readsEarly;

	private final ConfigurationProof proof;

	private final BootClock boot;

	private final Runnable changed;

	private final ConfigurationFreshness freshness;

	private final RandomGenerator random;

	private final OverlappingReads<ConfigurationDocument> reads;

	private ConfigurationDocument document;

	private boolean storeReachable = true;

	private ScheduledFuture<?> next;

	private boolean fetching;

	private int routers = 1;

	/** Whether the last read returned an older version than a peer has in force. */
	private boolean storeOutdated;

	private boolean stopped;

	/** Time of the newest proof not yet confirmed by peers, on the clock of proofs. */
	private long unconfirmedProofAtMs = NEVER_MS;

	/**
	 * Creates a synchronizer.
	 * @param loop the event loop
	 * @param store the store of the configuration
	 * @param proof the freshness proof to renew
	 * @param boot the clock of proofs
	 * @param inForceMs time by which an accepted configuration must be in force, in
	 * milliseconds
	 * @param readsEarly whether this router is one of the few that read before the others
	 * @param changed run after each change, and once when the first configuration is
	 * confirmed
	 * @param era the era of the store
	 * @param random the source of randomness
	 */
	ConfigurationSynchronizer(EventLoop loop, FleetStore store, ConfigurationProof proof, BootClock boot,
			long inForceMs, BooleanSupplier readsEarly, Runnable changed, StoreEra era, RandomGenerator random) {
		this.inForceMs = inForceMs;
		this.readsEarly = readsEarly;
		this.changed = changed;
		this.freshness = new ConfigurationFreshness(era, proof.keysBoundMs());
		this.random = random;
		this.loop = loop;
		this.store = store;
		this.proof = proof;
		this.boot = boot;
		this.reads = new OverlappingReads<>(loop, boot, store::readConfiguration, new ReadListener());
	}

	RoutingConfiguration configuration() {
		return (this.document != null) ? this.document.configuration() : null;
	}

	/**
	 * Returns the configuration in force with its text.
	 * @return the document, or {@code null} before the first read
	 */
	ConfigurationDocument document() {
		return this.document;
	}

	void start() {
		read();
	}

	/**
	 * Processes the version that a peer reports.
	 * @param version the version in force at the peer
	 * @param provedAtMs when it was proved to be the newest, on the clock of proofs
	 * @param peerAddress the address at which the peer receives messages
	 */
	void peerVersionReceived(long version, long provedAtMs, String peerAddress) {
		long own = version();
		boolean wasConfirmed = confirmed();
		this.freshness.peerVersionReceived(version, peerAddress, this.boot.nowMs());
		notifyIfConfirmed(wasConfirmed);
		if (version == own && version >= 0) {
			proved(provedAtMs);
		}
		else if (version > own && (!this.storeReachable || this.storeOutdated)) {
			// The store rejects this router but serves others, or it was restored from an
			// older copy. Only the configurations of peers reflect keys revoked since
			// then.
			fetch(peerAddress, () -> {
			});
		}
		else if (version > own && !this.reads.awaited()) {
			if (this.routers < MIN_ROUTERS_FETCHING || this.readsEarly.getAsBoolean()) {
				read();
			}
			else {
				fetchOrRead(peerAddress);
			}
		}
	}

	// All routers of a fleet learn of a new version within a second. If each of them read
	// it from the store, the calls would grow with routers times versions.
	private void fetchOrRead(String peerAddress) {
		if (fetch(peerAddress, this::read)) {
			this.loop.schedule(() -> {
				if (this.fetching) {
					read();
				}
			}, FETCH_LATE_MS, TimeUnit.MILLISECONDS);
		}
	}

	private boolean fetch(String peerAddress, Runnable onFailure) {
		if (this.fetching) {
			return false;
		}
		this.fetching = true;
		long requestedAtMs = this.boot.nowMs();
		this.store.fetchConfiguration(peerAddress, (reply) -> configurationFetched(reply, requestedAtMs, onFailure));
		return this.fetching;
	}

	private void configurationFetched(StoreReply<FleetStore.Fetched> reply, long requestedAtMs, Runnable onFailure) {
		this.fetching = false;
		if (reply instanceof StoreReply.Found<FleetStore.Fetched> found) {
			accept(found.value().document(), requestedAtMs - found.value().proofAgeMs());
		}
		else {
			logger.atWarning().log("event=fetch-failed reason=\"%s\"", reply);
			onFailure.run();
		}
	}

	/**
	 * Notes the size of the fleet.
	 * @param count the number of known routers, including this one
	 */
	void routersCounted(int count) {
		this.routers = count;
	}

	/** Handles a restore of the store from an older copy. */
	void storeRestored() {
		peerRestoreReceived(0);
	}

	/**
	 * Processes the age of a restore of the store as reported by a peer of the same era.
	 * @param ageMs how long ago the peer learned of the restore, in milliseconds; -1 if
	 * it knows of none
	 */
	void peerRestoreReceived(long ageMs) {
		this.freshness.storeRestored(ageMs, this.boot.nowMs());
	}

	/**
	 * Returns how long ago the store was restored.
	 * @return milliseconds; -1 if no restore is known or it was long ago
	 */
	long restoreAgeMs() {
		return this.freshness.restoreAgeMs(this.boot.nowMs());
	}

	/**
	 * Notes that peers were queried for their versions.
	 * @param routers the number of peers queried; their responses may be lost
	 */
	void peersQueried(int routers) {
		boolean wasConfirmed = confirmed();
		this.freshness.peersQueried(routers);
		notifyIfConfirmed(wasConfirmed);
		this.loop.schedule(this::peerResponseTimedOut, PEER_RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private void peerResponseTimedOut() {
		boolean wasConfirmed = confirmed();
		this.freshness.peerResponseTimedOut();
		notifyIfConfirmed(wasConfirmed);
	}

	private void notifyIfConfirmed(boolean wasConfirmed) {
		if (!wasConfirmed && confirmed()) {
			proved(this.unconfirmedProofAtMs);
			this.changed.run();
		}
	}

	/**
	 * Returns whether the configuration may be acted on, judging by what peers report.
	 * @return {@code false} after a start, until peers have responded or the time for
	 * that is over
	 */
	boolean confirmed() {
		return this.freshness.confirmed();
	}

	private void proved(long requestedAtMs) {
		if (!confirmed()) {
			this.unconfirmedProofAtMs = Math.max(this.unconfirmedProofAtMs, requestedAtMs);
		}
		else if (this.freshness.proves(version(), requestedAtMs, this.boot.nowMs())) {
			this.proof.recordProof(requestedAtMs);
		}
	}

	private long version() {
		return (configuration() != null) ? configuration().version() : -1;
	}

	void stop() {
		this.stopped = true;
	}

	private void read() {
		if (!this.stopped) {
			this.reads.start();
		}
	}

	private void readIn(long pauseMs) {
		if (this.next != null) {
			this.next.cancel(false);
		}
		this.next = this.loop.schedule(this::readUnlessProved, pauseMs, TimeUnit.MILLISECONDS);
	}

	private long periodMs() {
		return (long) ((this.readsEarly.getAsBoolean() ? EARLY_READ_PERIOD_RATIO : READ_PERIOD_RATIO) * this.inForceMs);
	}

	private long jitterMs() {
		double ratio = this.readsEarly.getAsBoolean() ? EARLY_JITTER_RATIO : JITTER_RATIO;
		return this.random.nextLong(Math.max(1, (long) (ratio * this.inForceMs)));
	}

	private void readUnlessProved() {
		long ageMs = this.proof.ageMs(this.boot.nowMs());
		long periodMs = periodMs();
		if (ageMs < periodMs) {
			// A peer has read meanwhile; the interval is counted from its proof. The
			// jitter keeps routers from reading at the same time.
			long pauseMs = periodMs - ageMs + jitterMs();
			this.next = this.loop.schedule(this::readUnlessProved, pauseMs, TimeUnit.MILLISECONDS);
			return;
		}
		read();
	}

	private void accept(ConfigurationDocument read, long provedAtMs) {
		long before = version();
		long version = read.configuration().version();
		if (version < before) {
			logger.atWarning().log("event=configuration-older version=%d in-force=%d", version, before);
			return;
		}
		if (version > before) {
			logger.atInfo()
				.log("event=configuration version=%d before=%d in-touch=%s", version, before, this.storeReachable);
			this.document = read;
			this.changed.run();
		}
		proved(provedAtMs);
	}

	private void updateReachability(boolean reachable, String reason) {
		if (reachable != this.storeReachable) {
			this.storeReachable = reachable;
			logger.atWarning()
				.log("event=%s dependency=store call=configuration reason=\"%s\" proof-age-ms=%d",
						reachable ? "regained" : "lost", reason, this.proof.ageMs(this.boot.nowMs()));
		}
	}

	/** Processes the replies of the store. */
	private final class ReadListener implements OverlappingReads.Listener<ConfigurationDocument> {

		@Override
		public void answered(ConfigurationDocument read, long requestedAtMs) {
			long tookMs = ConfigurationSynchronizer.this.boot.nowMs() - requestedAtMs;
			if (tookMs < OverlappingReads.LATE_MS) {
				updateReachability(true, "read");
			}
			else {
				logger.atWarning()
					.atMostEvery(SLOW_LOG_INTERVAL_S, TimeUnit.SECONDS)
					.log("event=slow dependency=store call=configuration took-ms=%d", tookMs);
			}
			ConfigurationSynchronizer.this.storeOutdated = ConfigurationSynchronizer.this.freshness
				.outdated(read.configuration().version(), ConfigurationSynchronizer.this.boot.nowMs());
			accept(read, requestedAtMs);
			readIn(periodMs() + jitterMs());
		}

		// Peers may have a later configuration meanwhile.
		@Override
		public void late() {
			updateReachability(false, "no answer in " + OverlappingReads.LATE_MS + " ms");
		}

		@Override
		public void failed(StoreReply<ConfigurationDocument> reply) {
			updateReachability(false, reply.toString());
			readIn(RETRY_MS);
		}

	}

}
