package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.store.StoreVersion;

/**
 * Builds this router's own messages and dispatches those of peers to the components that
 * process them. Makes no decisions of its own. Confined to the event loop.
 */
final class PeerMessageHandler implements PeerLink.Handler {

	/**
	 * The interval at which the routers are counted, in milliseconds. A count looks
	 * through all peers.
	 */
	private static final long COUNT_INTERVAL_MS = 1000;

	/** Identifies the lease where a few routers are chosen that poll it. */
	private static final long LEASE_KEY = "lease".hashCode();

	private final RouterContext router;

	private final RouterSettings settings;

	private final ConfigurationSynchronizer configurationSynchronizer;

	private final DirectorySynchronizer directorySynchronizer;

	private final LayerReconciler layerReconciler;

	private final Leadership leadership;

	private final StoreEra era;

	private final ReportedLoad load;

	private long countedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a handler.
	 * @param router the clocks, the directory and the peers
	 * @param settings this router's name and address
	 * @param configurationSynchronizer holds the configuration in force
	 * @param directorySynchronizer holds the list of upstreams
	 * @param layerReconciler tracks slow engines while this router leads
	 * @param leadership whether this router leads
	 * @param era the era of the store
	 */
	PeerMessageHandler(RouterContext router, RouterSettings settings,
			ConfigurationSynchronizer configurationSynchronizer, DirectorySynchronizer directorySynchronizer,
			LayerReconciler layerReconciler, Leadership leadership, StoreEra era) {
		this.router = router;
		this.settings = settings;
		this.configurationSynchronizer = configurationSynchronizer;
		this.directorySynchronizer = directorySynchronizer;
		this.layerReconciler = layerReconciler;
		this.leadership = leadership;
		this.era = era;
		this.load = new ReportedLoad(router.directory());
	}

	@Override
	public PeerStatus status(long sequence, boolean answer) {
		long nowMs = this.router.nowMs();
		long ageMs = this.router.proof().ageMs(this.router.bootMs());
		long version = (this.router.configuration() != null) ? this.router.configuration().version() : -1;
		return new PeerStatus(this.settings.name(), Addresses.text(this.settings.peers()),
				this.settings.failureDomain(), sequence, answer, version,
				(ageMs < this.settings.bounds().keysMs()) ? ageMs : -1, this.router.engineMonitor().suspects(),
				this.load.tokenLayers(nowMs), this.router.peers().advertisedAddresses(nowMs), this.router.stopping(),
				this.layerReconciler.slowdowns(), this.leadership.holds(), this.router.peers().leaderAgeMs(nowMs),
				this.directorySynchronizer.state(), this.era.current(), this.configurationSynchronizer.restoreAgeMs(),
				new PeerReach(this.router.reachability().contactAgesMs(), true, this.leadership.releaseAgeMs(),
						this.router.engineMonitor().workingReported(), this.router.relays().answerAgesMs(),
						this.router.limits().spareServices()));
	}

	@Override
	public void onStatus(PeerStatus status) {
		PeerTable peers = this.router.peers();
		this.era.eraReceived(status.storeEra());
		if (status.storeEra() == this.era.current()) {
			this.configurationSynchronizer.peerRestoreReceived(status.storeReturnAgeMs());
		}
		peers.update(status, this.router.nowMs());
		this.router.reachability().peerReach(status.reach());
		if (status.answer()) {
			this.router.engineMonitor().peerAnswered();
			this.router.crashGuard().peerAnswered();
		}
		status.suspects().forEach(this.router.engineMonitor()::suspectReported);
		status.reach().workingEngines().forEach(this.router.engineMonitor()::workingReportReceived);
		countRouters();
		this.configurationSynchronizer.peerVersionReceived(status.version(), peers.provedAtMs(status),
				status.address());
		this.directorySynchronizer.peerStateReceived(status.address(), status.list(), peers.listProvedAtMs(status));
	}

	private void countRouters() {
		long nowMs = this.router.nowMs();
		if (nowMs - this.countedAtMs >= COUNT_INTERVAL_MS) {
			this.countedAtMs = nowMs;
			PeerTable peers = this.router.peers();
			int routers = peers.routerCount(nowMs);
			this.configurationSynchronizer.routersCounted(routers);
			this.leadership.candidate(
					routers <= 2 * Leadership.CANDIDATES || peers.shareOf(LEASE_KEY, Leadership.CANDIDATES, nowMs) > 0);
		}
	}

	@Override
	public UpstreamChanges changesAfter(StoreVersion after) {
		return this.directorySynchronizer.changesAfter(after);
	}

	@Override
	public void onChanges(UpstreamChanges changes) {
		this.directorySynchronizer.peerChangesReceived(changes);
	}

	@Override
	public List<PeerMessage> pendingReports() {
		List<PeerMessage> reports = new ArrayList<>();
		reports.addAll(this.router.crashGuard().reports());
		List<ReportedLimit> limits = this.router.limits().limitsToReport();
		if (!limits.isEmpty()) {
			reports.add(new PeerMessage.Limits(limits));
		}
		return reports;
	}

	@Override
	public void onCrashReports(PeerMessage.CrashReports reports) {
		this.router.crashGuard().received(reports);
	}

	@Override
	public void onLimits(PeerMessage.Limits limits) {
		this.router.limits().received(limits.limits());
	}

	@Override
	public boolean lendsRetry(PeerMessage.RetryQuestion question) {
		return this.router.retries().lend(question);
	}

	@Override
	public void onRetryAnswer(PeerMessage.RetryAnswer answer) {
		this.router.retries().answered(answer);
	}

}
