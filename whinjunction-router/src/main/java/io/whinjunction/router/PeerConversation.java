package io.whinjunction.router;

import java.util.ArrayList;
import java.util.List;

import io.whinjunction.forward.CrashHistory;
import io.whinjunction.store.StoreVersion;

/**
 * This router's side of what routers say to each other: what it tells of itself, and who
 * hears of what others tell. Decides nothing. Confined to the event loop.
 */
final class PeerConversation implements PeerLink.Handler {

	private final RouterContext router;

	private final RouterSettings settings;

	private final ConfigurationSynchronizer configurationSynchronizer;

	private final DirectorySynchronizer directorySynchronizer;

	private final LayerReconciler layerReconciler;

	private final Leadership leadership;

	private final StoreEra era;

	private final ReportedLoad load;

	/**
	 * A side.
	 * @param router the clocks, the directory and the other routers
	 * @param settings this router's name and address
	 * @param configurationSynchronizer knows the configuration in force
	 * @param directorySynchronizer knows the list of upstreams
	 * @param layerReconciler knows which engines are slow, while this router leads
	 * @param leadership whether it does
	 * @param era the era of the store
	 */
	PeerConversation(RouterContext router, RouterSettings settings, ConfigurationSynchronizer configurationSynchronizer,
			DirectorySynchronizer directorySynchronizer, LayerReconciler layerReconciler, Leadership leadership,
			StoreEra era) {
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
				this.load.tokenLayers(nowMs), this.router.peers().toTell(nowMs), this.router.stopping(),
				this.layerReconciler.slowdowns(), this.leadership.holds(), this.router.peers().leaderAgeMs(nowMs),
				this.directorySynchronizer.state(), this.era.current(), this.configurationSynchronizer.restoreAgeMs());
	}

	@Override
	public void heard(PeerStatus status) {
		PeerTable peers = this.router.peers();
		this.era.eraReceived(status.storeEra());
		if (status.storeEra() == this.era.current()) {
			this.configurationSynchronizer.peerRestoreReceived(status.storeReturnAgeMs());
		}
		peers.heard(status, this.router.nowMs());
		status.suspects().forEach(this.router.engineMonitor()::suspectReported);
		this.configurationSynchronizer.peerVersionReceived(status.version(), peers.provedAtMs(status),
				status.address());
		this.directorySynchronizer.peerStateReceived(status.address(), status.list(), peers.listProvedAtMs(status));
	}

	@Override
	public UpstreamChanges changesAfter(StoreVersion after) {
		return this.directorySynchronizer.changesAfter(after);
	}

	@Override
	public void told(UpstreamChanges changes) {
		this.directorySynchronizer.peerChangesReceived(changes);
	}

	@Override
	public List<PeerMessage> news() {
		List<PeerMessage> news = new ArrayList<>();
		List<CrashHistory> crashes = this.router.crashGuard().told();
		if (!crashes.isEmpty()) {
			news.add(new PeerMessage.CrashReports(crashes));
		}
		List<ReportedLimit> limits = this.router.limits().limitsToReport();
		if (!limits.isEmpty()) {
			news.add(new PeerMessage.Limits(limits));
		}
		return news;
	}

	@Override
	public void heard(PeerMessage.CrashReports reports) {
		this.router.crashGuard().heard(reports.histories());
	}

	@Override
	public void heard(PeerMessage.Limits limits) {
		this.router.limits().received(limits.limits());
	}

}
