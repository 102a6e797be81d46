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
 * Keeps the newest configuration in force and proves that it is the newest.
 * <p>
 * One linearizable read does both. It is repeated where no other router has proved the
 * same version for a part of the time within which an accepted configuration has to be in
 * force; a few routers do so sooner than the others, so the fleet reads a few times a
 * period, and not each router once.
 * <p>
 * {@link ConfigurationFreshness} says which reads prove anything, where the store has come
 * back from an older copy.
 * <p>
 * Invariants: the version in force never goes down; none is proved while another router
 * has a later one. Confined to the event loop.
 */
final class ConfigurationSynchronizer {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * After which age of its proof a router reads, as a part of the time within which an
	 * accepted configuration has to be in force.
	 */
	private static final double PERIOD_PART = 0.5;

	/**
	 * The same for the few routers that wait at the store for changes of upstreams. All
	 * routers of a fleet are proved by the same read and grow old together; some that
	 * read sooner have told the others before those read too.
	 */
	private static final double FORERUNNER_PART = 0.25;

	/** What is added to the pause by chance, as a part of the same time. */
	private static final double SPREAD_PART = 0.125;

	/**
	 * The same for those that read sooner: long enough for the first one's proof to reach
	 * most of the others.
	 */
	private static final double FORERUNNER_SPREAD_PART = 0.25;

	/**
	 * How long a router that starts waits for another one's word on the version, in
	 * milliseconds: a few times what an answer takes.
	 */
	private static final long CONSULT_MS = 300;

	/** The pause after a read that failed, in milliseconds: a few calls a second. */
	private static final long RETRY_MS = 250;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final EventLoop loop;

	private final FleetStore store;

	private final long inForceMs;

	private final BooleanSupplier readsEarly;

	private final ConfigurationProof proof;

	private final BootClock boot;

	private final Runnable changed;

	private final ConfigurationFreshness trust;

	private final RandomGenerator random;

	private ConfigurationDocument document;

	private boolean inTouch = true;

	private ScheduledFuture<?> next;

	private boolean reading;

	private boolean fetching;

	/** Whether the store was last seen with an older version than another router's. */
	private boolean storeIsBehind;

	private boolean stopped;

	/** The newest proof that waits for others' word, on the clock of proofs. */
	private long unconfirmedAtMs = NEVER_MS;

	/**
	 * A keeper.
	 * @param loop the event loop
	 * @param store where the configuration is
	 * @param proof what to keep fresh
	 * @param boot the clock of proofs
	 * @param inForceMs within which time an accepted configuration must be in force, in
	 * milliseconds
	 * @param readsEarly whether this router is one of the few that read before the others
	 * @param changed is run after each change, and once the first one is confirmed
	 * @param era the era of the store
	 * @param random the source of chance
	 */
	ConfigurationSynchronizer(EventLoop loop, FleetStore store, ConfigurationProof proof, BootClock boot, long inForceMs,
			BooleanSupplier readsEarly, Runnable changed, StoreEra era, RandomGenerator random) {
		this.inForceMs = inForceMs;
		this.readsEarly = readsEarly;
		this.changed = changed;
		this.trust = new ConfigurationFreshness(era, proof.keysBoundMs());
		this.random = random;
		this.loop = loop;
		this.store = store;
		this.proof = proof;
		this.boot = boot;
	}

	RoutingConfiguration configuration() {
		return (this.document != null) ? this.document.configuration() : null;
	}

	/**
	 * The configuration in force with its text.
	 * @return the document, or {@code null} before the first
	 */
	ConfigurationDocument document() {
		return this.document;
	}

	void start() {
		read();
	}

	/**
	 * Hears of a version from another router.
	 * @param version the version in force there
	 * @param provedAtMs when it was proved to be the newest, on the clock of proofs
	 * @param peerAddress where that router takes messages
	 */
	void peerVersionReceived(long version, long provedAtMs, String peerAddress) {
		long own = version();
		boolean before = confirmed();
		this.trust.peerVersionReceived(version, peerAddress, this.boot.nowMs());
		noteConfirmed(before);
		if (version == own && version >= 0) {
			proved(provedAtMs);
		}
		else if (version > own && this.inTouch && !this.storeIsBehind && !this.reading) {
			read();
		}
		else if (version > own && (!this.inTouch || this.storeIsBehind) && !this.fetching) {
			// The store turns this router away and serves others, or has come back from
			// an older copy: keys that were taken away meanwhile are known only there.
			this.fetching = true;
			long askedAtMs = this.boot.nowMs();
			this.store.fetchConfiguration(peerAddress, (reply) -> takeFetched(reply, askedAtMs));
		}
	}

	private void takeFetched(StoreReply<FleetStore.Fetched> reply, long askedAtMs) {
		this.fetching = false;
		if (reply instanceof StoreReply.Found<FleetStore.Fetched> found) {
			offer(found.value().document(), askedAtMs - found.value().proofAgeMs());
		}
		else {
			logger.atWarning().log("event=fetch-failed reason=\"%s\"", reply);
		}
	}

	/** The store has come back from an older copy. */
	void storeRestored() {
		peerRestoreReceived(0);
	}

	/**
	 * Hears from another router of the same era that the store has come back.
	 * @param ageMs how long ago it heard so, in milliseconds; -1 where it didn't
	 */
	void peerRestoreReceived(long ageMs) {
		this.trust.storeRestored(ageMs, this.boot.nowMs());
	}

	/**
	 * How long ago the store came back.
	 * @return milliseconds; -1 where it did not, as far as is known, or long ago
	 */
	long restoreAgeMs() {
		return this.trust.restoreAgeMs(this.boot.nowMs());
	}

	/**
	 * Other routers have been asked for what they know.
	 * @param routers how many; their answers may be lost
	 */
	void peersQueried(int routers) {
		boolean before = confirmed();
		this.trust.peersQueried(routers);
		noteConfirmed(before);
		this.loop.schedule(this::waitedEnough, CONSULT_MS, TimeUnit.MILLISECONDS);
	}

	private void waitedEnough() {
		boolean before = confirmed();
		this.trust.waitedEnough();
		noteConfirmed(before);
	}

	private void noteConfirmed(boolean before) {
		if (!before && confirmed()) {
			proved(this.unconfirmedAtMs);
			this.changed.run();
		}
	}

	/**
	 * Whether what was read may be acted on, as far as other routers can tell.
	 * @return {@code false} while their word is waited for after a start
	 */
	boolean confirmed() {
		return this.trust.confirmed();
	}

	private void proved(long askedAtMs) {
		if (!confirmed()) {
			this.unconfirmedAtMs = Math.max(this.unconfirmedAtMs, askedAtMs);
		}
		else if (this.trust.proves(version(), askedAtMs, this.boot.nowMs())) {
			this.proof.proved(askedAtMs);
		}
	}

	private long version() {
		return (configuration() != null) ? configuration().version() : -1;
	}

	void stop() {
		this.stopped = true;
	}

	private void read() {
		if (this.stopped || this.reading) {
			return;
		}
		this.reading = true;
		long askedAtMs = this.boot.nowMs();
		this.store.readConfiguration((reply) -> take(reply, askedAtMs));
	}

	private void take(StoreReply<ConfigurationDocument> reply, long askedAtMs) {
		this.reading = false;
		long pauseMs = RETRY_MS;
		if (reply instanceof StoreReply.Found<ConfigurationDocument> found) {
			noteTouch(true, "read");
			this.storeIsBehind = this.trust.outdated(found.value().configuration().version(), this.boot.nowMs());
			offer(found.value(), askedAtMs);
			pauseMs = periodMs() + spreadMs();
		}
		else {
			noteTouch(false, reply.toString());
		}
		if (this.next != null) {
			this.next.cancel(false);
		}
		this.next = this.loop.schedule(this::readUnlessProved, pauseMs, TimeUnit.MILLISECONDS);
	}

	private long periodMs() {
		return (long) ((this.readsEarly.getAsBoolean() ? FORERUNNER_PART : PERIOD_PART) * this.inForceMs);
	}

	private long spreadMs() {
		double part = this.readsEarly.getAsBoolean() ? FORERUNNER_SPREAD_PART : SPREAD_PART;
		return this.random.nextLong(Math.max(1, (long) (part * this.inForceMs)));
	}

	private void readUnlessProved() {
		long ageMs = this.proof.ageMs(this.boot.nowMs());
		long periodMs = periodMs();
		if (ageMs < periodMs) {
			// Another router has read meanwhile; the pause goes on from there, and a part
			// by chance keeps routers from reading together.
			long pauseMs = periodMs - ageMs + spreadMs();
			this.next = this.loop.schedule(this::readUnlessProved, pauseMs, TimeUnit.MILLISECONDS);
			return;
		}
		read();
	}

	private void offer(ConfigurationDocument read, long provedAtMs) {
		long before = version();
		long version = read.configuration().version();
		if (version < before) {
			logger.atWarning().log("event=configuration-older version=%d in-force=%d", version, before);
			return;
		}
		if (version > before) {
			logger.atInfo().log("event=configuration version=%d before=%d in-touch=%s", version, before, this.inTouch);
			this.document = read;
			this.changed.run();
		}
		proved(provedAtMs);
	}

	private void noteTouch(boolean now, String reason) {
		if (now != this.inTouch) {
			this.inTouch = now;
			logger.atWarning()
				.log("event=%s dependency=store call=configuration reason=\"%s\" proof-age-ms=%d",
						now ? "regained" : "lost", reason, this.proof.ageMs(this.boot.nowMs()));
		}
	}

}
