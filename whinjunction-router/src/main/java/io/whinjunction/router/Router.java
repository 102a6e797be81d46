package io.whinjunction.router;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.whinjunction.memory.MemoryBudget;
import io.whinjunction.proof.ConfigurationProof;
import io.whinjunction.reachability.Reachability;
import io.whinjunction.routing.RoutedService;
import io.whinjunction.routing.RoutingConfiguration;
import io.whinjunction.store.StoreVersion;
import io.whinjunction.time.BootClock;
import io.whinjunction.time.Closer;
import io.whinjunction.time.PauseDetector;
import io.whinjunction.time.Ticker;

/**
 * A router process.
 * <p>
 * Everything runs on one event loop: an instance has less than one core, and a request
 * touches only a table, two connections and a few counters. Invariant: state is accessed
 * on the event loop only; {@link #stop} and {@link #close} may be called from any thread.
 */
public final class Router implements RouterContext, AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The time that a request may take from the check of its key to the upstream, in
	 * milliseconds: a connection attempt with its longest time limit.
	 */
	private static final long KEY_MARGIN_MS = 600;

	/** The interval between two sweeps of idle connections, in milliseconds. */
	private static final long SWEEP_INTERVAL_MS = 500;

	/** The lateness of a sweep from which on it is logged, in milliseconds. */
	private static final long LOGGED_LATENESS_MS = 200;

	/**
	 * The maximum interval between two run notes of a running process, in milliseconds:
	 * two sweep intervals.
	 */
	private static final long MAX_RUN_NOTE_INTERVAL_MS = 2 * SWEEP_INTERVAL_MS;

	/** The delay before a failed announcement is retried, in milliseconds. */
	private static final long ANNOUNCE_RETRY_MS = 500;

	/**
	 * The time that each router of the fleet adds to the period over which routers
	 * announce themselves again after the store was restored, in milliseconds.
	 */
	private static final long ANNOUNCE_JITTER_MS_PER_ROUTER = 20;

	private static final int LOG_INTERVAL_S = 1;

	private final EventLoop loop;

	private final RouterSettings settings;

	private final Dialect dialect;

	private final Ticker ticker = Ticker.system();

	private final MemoryBudget callerMemory = MemoryBudget.ofHeap(this::shedForMemory);

	private final BufferedAnswers bufferedAnswers = new BufferedAnswers(this.callerMemory);

	private final RandomGenerator random = RandomGenerator.getDefault();

	private final BootClock boot;

	private final RouterMetrics metrics;

	private final ConfigurationProof proof;

	private final UpstreamDirectory directory;

	private final UpstreamPool pool;

	private final TargetChooser chooser;

	private final PeerTable peers;

	private final PeerLink peerLink;

	private final EngineMonitor engineMonitor;

	private final CrashGuard crashGuard;

	private final UpstreamLimits limits;

	private final UpstreamAvailability availability;

	private final ReachabilityMonitor reachability;

	private final EndedUpstreams endedUpstreams = new EndedUpstreams(this);

	private final PeerRelays relays;

	private final FleetStore store;

	private final EngineControl engines;

	private final ConfigurationSynchronizer configurationSynchronizer;

	private final DirectorySynchronizer directorySynchronizer;

	private final Leadership leadership;

	private final LayerReconciler layerReconciler;

	private final RetryBudgets retries;

	private final Set<CallerConnection> callers = new HashSet<>();

	private final Closer closer = new Closer();

	private final Listeners listeners;

	private final CallersPort callersPort;

	private final StopAdmission stopAdmission = new StopAdmission();

	private final RequestAdmission admission = new RequestAdmission(this);

	private Channel callerListener;

	/** {@code null} until the process is ordered to stop. */
	private StopSchedule stop;

	private final PauseDetector pauseDetector;

	private long sweptAtMs;

	/** Whether the last sweep spared slow callers. */
	private boolean sweepDelayed;

	/**
	 * Creates a router.
	 * @param group its event loop group, with one event loop
	 * @param settings its settings
	 * @param ports its interfaces to the platform
	 * @param boot a clock that counts suspensions
	 * @param onFatal is run if the process cannot work because a port is not available
	 */
	public Router(EventLoopGroup group, RouterSettings settings, Ports ports, BootClock boot, Runnable onFatal) {
		this.loop = group.next();
		this.callersPort = this.closer.register(ports.callersPort());
		this.settings = settings;
		this.listeners = new Listeners(this, this.callerMemory, settings.maxDescriptors(), onFatal, this.closer);
		this.dialect = ports.dialect();
		this.metrics = ports.metrics();
		this.boot = boot;
		this.pauseDetector = new PauseDetector(boot.nowMs(), MAX_RUN_NOTE_INTERVAL_MS);
		this.proof = new ConfigurationProof(settings.bounds().keysMs() - KEY_MARGIN_MS,
				settings.bounds().configurationMs());
		this.peers = new PeerTable(Addresses.text(settings.peers()), this.random);
		this.availability = new UpstreamAvailability(this, this::replan);
		this.reachability = new ReachabilityMonitor(this, new ReachabilityListener());
		this.relays = new PeerRelays(this, settings.name(), (address) -> peerLink().query(address));
		this.pool = new UpstreamPool(this.loop, this.dialect, this.ticker, this.availability,
				new UpstreamPool.Evidence(this.reachability, this.endedUpstreams));
		this.directory = new UpstreamDirectory((upstream) -> this.pool.drop(upstream.incarnation()));
		this.engineMonitor = new EngineMonitor(this, ports.engines(), this::engineStateChanged,
				() -> leadership().holds(), new ReceptionCheck(this, () -> peerLink().queryActive()));
		this.crashGuard = new CrashGuard(this, ports.store(), new CrashListener());
		this.store = ports.store();
		this.engines = ports.engines();
		this.engines.onAnswer((engine, status, notice) -> {
			this.reachability.heard(engine);
			this.endedUpstreams.lives(engine.incarnation());
			this.availability.answered(engine, status, notice);
		});
		this.configurationSynchronizer = new ConfigurationSynchronizer(this.loop, ports.store(), this.proof, boot,
				settings.bounds().configurationMs(), () -> directorySynchronizer().readsEarly(),
				this::listenWhenInitialized, ports.store().era(), this.random);
		this.leadership = new Leadership(this.loop, ports.store(), settings.name(), this.ticker,
				() -> peers().hasLeader(nowMs()), this::reachesEngines);
		this.layerReconciler = new LayerReconciler(this, ports.engines(), this.leadership);
		this.limits = new UpstreamLimits(this, this.random);
		this.chooser = new TargetChooser(this.directory, this.peers,
				new TargetChooser.Admission(this.limits, this.availability, this.reachability),
				this.layerReconciler.slowdowns(), settings.failureDomain(), this.random);
		this.directorySynchronizer = new DirectorySynchronizer(this, ports.store(), new DirectoryListener(),
				() -> this.leadership.holds(), settings.bounds().drainMs(), this.random);
		this.peerLink = new PeerLink(this, this.peers,
				new PeerMessageHandler(this, settings, this.configurationSynchronizer, this.directorySynchronizer,
						this.layerReconciler, this.leadership, ports.store().era()));
		this.retries = new RetryBudgets(this, settings.bounds(), this.peerLink::requestRetry);
		ports.store().era().onRestore(this::storeRestored);
	}

	/**
	 * Starts listening and synchronizing with the store. Must be called on the event
	 * loop, like the constructor, so that one thread at a time loads classes.
	 */
	public void start() {
		this.configurationSynchronizer.start();
		this.directorySynchronizer.start();
		this.leadership.start();
		this.layerReconciler.start();
		Channel peerChannel = this.peerLink.start(this.settings.peers());
		this.closer.register(peerChannel::close);
		PeerConfigurationHandler documents = new PeerConfigurationHandler(this.configurationSynchronizer::document,
				() -> this.proof.ageMs(this.boot.nowMs()));
		this.listeners.listenForPeers(this.settings.peers(),
				(connection) -> new PeerRequestSelector(documents, () -> new CallerConnection(this, connection, true)));
		announce();
		this.crashGuard.start();
		this.loop.schedule(this.callersPort::close, CallersPort.MAX_WAIT_MS, TimeUnit.MILLISECONDS);
		this.sweptAtMs = bootMs();
		this.loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
		ReadyHandler ready = new ReadyHandler(this.dialect.readyPath(), this::ready, this.metrics);
		this.listeners.listenForChecks("ready", this.settings.ready(), ready);
		if (this.settings.metrics() != null) {
			this.listeners.listenForChecks("metrics", this.settings.metrics(), ready);
		}
		logger.atInfo()
			.log("event=started name=%s domain=%s callers=%s", this.settings.name(), this.settings.failureDomain(),
					this.settings.callers());
	}

	// While no router reaches the engines of a service, any may lead the others.
	private boolean reachesEngines() {
		RoutingConfiguration configuration = configuration();
		if (configuration == null) {
			return true;
		}
		for (RoutedService service : configuration.services()) {
			if (service.chained() && this.reachability.of(service.name()) == Reachability.CUT_OFF) {
				return false;
			}
		}
		return true;
	}

	private Leadership leadership() {
		return this.leadership;
	}

	private PeerLink peerLink() {
		return this.peerLink;
	}

	private DirectorySynchronizer directorySynchronizer() {
		return this.directorySynchronizer;
	}

	// Callers are accepted only once their requests can be served: a request that
	// arrived a tenth of a second earlier would only be refused.
	private void listenWhenInitialized() {
		if (this.callerListener == null && !stopping() && initialized()) {
			this.callerListener = this.listeners.listenForCallers(this.callersPort, this.settings.callers(),
					(connection) -> new CallerConnection(this, connection, false));
			logger.atInfo()
				.log("event=listening version=%d upstreams=%d", configuration().version(), this.directory.size());
		}
	}

	private boolean initialized() {
		return configuration() != null && this.configurationSynchronizer.confirmed()
				&& this.directorySynchronizer.listed() && this.crashGuard.informed();
	}

	private void stopListening() {
		if (this.callerListener != null) {
			this.callerListener.close();
		}
	}

	private void announce() {
		this.store.announce(this.settings.name(), Addresses.text(this.settings.peers()), (reply) -> {
			if (reply instanceof StoreReply.Found<List<String>> found) {
				this.peers.addListed(found.value());
				this.configurationSynchronizer.peersQueried(this.peerLink.querySilentPeers());
				logger.atInfo().log("event=announced routers=%d", found.value().size());
			}
			else {
				this.loop.schedule(this::announce, ANNOUNCE_RETRY_MS, TimeUnit.MILLISECONDS);
			}
		});
	}

	// Whoever maintains the store decides about the data that it lost. This router
	// only writes its own entries again, at a random time.
	private void storeRestored() {
		this.leadership.storeRestored();
		this.configurationSynchronizer.storeRestored();
		this.directorySynchronizer.storeRestored();
		this.crashGuard.storeRestored();
		long jitterMs = ANNOUNCE_JITTER_MS_PER_ROUTER * this.peers.routerCount(nowMs());
		this.loop.schedule(this::announce, this.random.nextLong(jitterMs), TimeUnit.MILLISECONDS);
	}

	private void engineStateChanged() {
		this.peerLink.sendStatusNow();
		this.layerReconciler.plan();
	}

	private void replan() {
		this.layerReconciler.plan();
	}

	private void shedForMemory(MemoryBudget.Holder.State state, long bytes, long usedBytes, long limitBytes) {
		this.metrics.callerShed("memory");
		logger.atWarning()
			.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
			.log("event=caller-shed reason=memory state=%s held-bytes=%d used-bytes=%d limit-bytes=%d", state, bytes,
					usedBytes, limitBytes);
	}

	/**
	 * Stops the router: reports that it is not ready, lets requests in progress continue,
	 * and allows the process to exit once none is in progress.
	 * @param stopped is run when the process may exit
	 */
	public void stop(Runnable stopped) {
		long signalledMs = nowMs();
		this.loop.execute(() -> {
			if (stopping()) {
				return;
			}
			long handledMs = bootMs() - (nowMs() - signalledMs);
			this.stop = new StopSchedule(this.pauseDetector.earliestArrivalMs(handledMs),
					this.settings.bounds().graceMs());
			logger.atInfo()
				.log("event=stopping callers=%d handled-late-ms=%d others=%d", this.callers.size(), stopAgeMs(),
						this.peers.reachablePeers(this.settings.failureDomain(), nowMs()).serving());
			this.leadership.stop();
			new StopSequence(this, this.stop, this::stopListening, stopped).start();
		});
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private boolean ready() {
		return !stopping() && initialized() && this.proof.honoursKeys(this.boot.nowMs());
	}

	private void sweep() {
		this.pauseDetector.recordActivity(bootMs());
		boolean late = recordLateness();
		this.pool.sweep();
		this.crashGuard.sweep();
		this.limits.sweep();
		this.retries.sweep();
		this.availability.sweep();
		// Callers may have gone on while this process was not run.
		this.sweepDelayed = late && !this.sweepDelayed;
		if (!this.sweepDelayed) {
			this.listeners.sweep();
		}
		this.metrics.state("version", (configuration() != null) ? configuration().version() : -1);
		this.metrics.state("proof_age_ms", this.proof.ageMs(this.boot.nowMs()));
		this.metrics.state("store_era", this.store.era().current());
		this.metrics.state("list_age_ms", this.directorySynchronizer.state().ageMs());
		this.metrics.state("upstreams", this.directory.size());
		this.metrics.state("callers", this.callers.size());
		this.metrics.state("caller_memory_bytes", this.callerMemory.usedBytes());
		this.metrics.state("buffered_answer_bytes", this.bufferedAnswers.bytes());
		this.metrics.state("limited_upstreams", this.limits.count());
		this.metrics.state("backing_off_upstreams", this.availability.backingOffCount());
		this.metrics.state("waiting_streams", this.callers.stream().filter(CallerConnection::waitsToResume).count());
		this.metrics.state("cut_off_services", this.reachability.counts().getOrDefault(Reachability.CUT_OFF, 0));
		this.metrics.state("relayed_for_peers", this.relays.forPeers());
		this.metrics.state("crashing_requests", this.crashGuard.refusedRequests());
		this.metrics.state("crashing_parts", this.crashGuard.refusedParts());
		this.metrics.state("leading", this.leadership.holds() ? 1 : 0);
	}

	private boolean recordLateness() {
		long nowMs = bootMs();
		long lateMs = Math.max(0, nowMs - this.sweptAtMs - SWEEP_INTERVAL_MS);
		this.sweptAtMs = nowMs;
		this.metrics.state("loop_late_ms", lateMs);
		if (lateMs > LOGGED_LATENESS_MS) {
			logger.atWarning().log("event=loop-late late-ms=%d callers=%d", lateMs, this.callers.size());
		}
		return lateMs > SWEEP_INTERVAL_MS;
	}

	@Override
	public EventLoop loop() {
		return this.loop;
	}

	@Override
	public long nowMs() {
		return this.ticker.nowMs();
	}

	@Override
	public long bootMs() {
		return this.boot.nowMs();
	}

	@Override
	public RandomGenerator random() {
		return this.random;
	}

	@Override
	public RoutingConfiguration configuration() {
		return this.configurationSynchronizer.configuration();
	}

	@Override
	public ConfigurationProof proof() {
		return this.proof;
	}

	@Override
	public BufferedAnswers bufferedAnswers() {
		return this.bufferedAnswers;
	}

	@Override
	public UpstreamDirectory directory() {
		return this.directory;
	}

	@Override
	public TargetChooser chooser() {
		return this.chooser;
	}

	@Override
	public UpstreamPool pool() {
		return this.pool;
	}

	@Override
	public Dialect dialect() {
		return this.dialect;
	}

	@Override
	public RetryBudgets retries() {
		return this.retries;
	}

	@Override
	public PeerTable peers() {
		return this.peers;
	}

	@Override
	public EngineControl engines() {
		return this.engines;
	}

	@Override
	public EngineMonitor engineMonitor() {
		return this.engineMonitor;
	}

	@Override
	public CrashGuard crashGuard() {
		return this.crashGuard;
	}

	@Override
	public ReachabilityMonitor reachability() {
		return this.reachability;
	}

	@Override
	public EndedUpstreams endedUpstreams() {
		return this.endedUpstreams;
	}

	@Override
	public PeerRelays relays() {
		return this.relays;
	}

	@Override
	public UpstreamLimits limits() {
		return this.limits;
	}

	@Override
	public RequestAdmission admission() {
		return this.admission;
	}

	@Override
	public UpstreamAvailability availability() {
		return this.availability;
	}

	@Override
	public Set<CallerConnection> callers() {
		return this.callers;
	}

	@Override
	public RouterMetrics metrics() {
		return this.metrics;
	}

	@Override
	public boolean stopping() {
		return this.stop != null;
	}

	@Override
	public boolean servesRequests() {
		return this.stop == null || this.stop.servesRequests(bootMs());
	}

	@Override
	public long stopAgeMs() {
		return stopping() ? this.stop.ageMs(bootMs()) : -1;
	}

	@Override
	public Optional<StopAdmission.Judgement> judgeInStop(StopAdmission.Candidate candidate) {
		return Optional.ofNullable(this.stop)
			.map((schedule) -> this.stopAdmission.judge(schedule, bootMs(), candidate, inProgressMs(candidate.family()),
					this.peers.reachablePeers(this.settings.failureDomain(), nowMs())));
	}

	private long[] inProgressMs(StopAdmission.Family family) {
		return this.callers.stream()
			.mapToLong((caller) -> caller.inProgressMs(family))
			.filter((soFarMs) -> soFarMs >= 0)
			.toArray();
	}

	@Override
	public void answered(StopAdmission.Family family, long tookMs) {
		this.stopAdmission.answered(family, tookMs);
	}

	/** Reacts to changes of this router's paths to upstreams. */
	private final class ReachabilityListener implements ReachabilityMonitor.Listener {

		@Override
		public void changed(String service, Reachability reachability, long sinceMs) {
			if (reachability == Reachability.CUT_OFF) {
				Router.this.crashGuard.retract(service, sinceMs);
				Router.this.engineMonitor.withdraw(service);
				if (!reachesEngines()) {
					Router.this.leadership.resign();
				}
			}
			Router.this.peerLink.sendStatusNow();
		}

		@Override
		public void doubtful() {
			Router.this.peerLink.queryActive();
		}

		@Override
		public void cutOff(String service) {
			Set.copyOf(Router.this.callers).forEach((caller) -> caller.onCutOff(service));
		}

	}

	/** Reacts to what is known of requests that crash upstreams. */
	private final class CrashListener implements CrashGuard.Listener {

		@Override
		public void notifyPeers() {
			Router.this.peerLink.sendStatusNow();
		}

		@Override
		public void informed() {
			listenWhenInitialized();
		}

	}

	/** Reacts to changes of the list of upstreams. */
	private final class DirectoryListener implements DirectorySynchronizer.Listener {

		@Override
		public void changed() {
			listenWhenInitialized();
			Router.this.layerReconciler.plan();
		}

		@Override
		public void notifyPeers() {
			Router.this.peerLink.sendStatusNow();
		}

		@Override
		public void requestChanges(String address, StoreVersion after) {
			Router.this.peerLink.requestChanges(address, after);
		}

	}

	/**
	 * The interfaces of a router to the platform. Immutable.
	 *
	 * @param dialect the names on the wire
	 * @param store the store of the platform
	 * @param engines status queries and orders to engines
	 * @param metrics counters shared by all components
	 * @param callersPort the port for callers if it is already bound; owned by the router
	 */
	public record Ports(Dialect dialect, FleetStore store, EngineControl engines, RouterMetrics metrics,
			CallersPort callersPort) {
	}

}
