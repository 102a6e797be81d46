package io.whinjunction.entry;

import java.io.File;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.ssl.SslContext;
import io.whinjunction.admission.AdmissionQueue;
import io.whinjunction.admission.ConcurrencyLimit;
import io.whinjunction.configuration.ConfigurationHolder;
import io.whinjunction.configuration.Freshness;
import io.whinjunction.engine.HttpEngineClient;
import io.whinjunction.explain.DecisionLog;
import io.whinjunction.http.HttpCaller;
import io.whinjunction.http.server.HttpServer;
import io.whinjunction.http.server.HttpServerSettings;
import io.whinjunction.limit.TeamLimits;
import io.whinjunction.membership.Member;
import io.whinjunction.membership.MembershipTable;
import io.whinjunction.metrics.EntryMetrics;
import io.whinjunction.once.ActionClaims;
import io.whinjunction.peer.PeerNode;
import io.whinjunction.peer.PeerServer;
import io.whinjunction.peer.PeerTransport;
import io.whinjunction.pipeline.ChoicePolicy;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.platform.HttpObjectStore;
import io.whinjunction.platform.ObjectStore;
import io.whinjunction.session.RetryBudget;
import io.whinjunction.time.Closer;
import io.whinjunction.time.PauseDetector;
import io.whinjunction.time.Ticker;
import io.whinjunction.tls.TlsFiles;
import io.whinjunction.trace.Tracing;

/**
 * A running entry: accepts the requests of callers and routes them to upstreams.
 * <p>
 * Invariant: {@link #stop()} cuts off no request in progress unless the drain limit of
 * the operator is reached, which is logged. The time of a stop counts from the earliest
 * moment at which its signal may have been sent, by {@link Ticker#system()}: this detects
 * a suspended or starved process, but not a suspended machine. Thread-safe.
 */
public final class Entry implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int CONNECT_MS = 500;

	private static final int IDLE_CONNECTION_MS = 10_000;

	private static final double RETRY_RATIO = 0.1;

	/**
	 * The minimum reserve of retries; a crashed engine removes a stage from every running
	 * draft.
	 */
	private static final int MIN_RETRY_RESERVE = 20;

	/**
	 * The time for requests that are cut off at the drain limit to send their callers an
	 * error, in milliseconds. It covers one check interval of queued requests and the
	 * steps of one token.
	 */
	private static final long FINAL_ERROR_MS = 500;

	/**
	 * The minimum delay after a failed call, so that an outage causes no busy retries.
	 */
	private static final long RETRY_DELAY_MS = 200;

	/**
	 * The interval at which the process records that it is running, in milliseconds. The
	 * time of a late signal may be assumed too early by this much, which is half of the
	 * default notice.
	 */
	private static final long RUN_NOTE_INTERVAL_MS = 500;

	/**
	 * The maximum time between two such records of a running process, in milliseconds: a
	 * record may be late by a full interval.
	 */
	private static final long MAX_RUN_NOTE_INTERVAL_MS = 2 * RUN_NOTE_INTERVAL_MS;

	private final EntrySettings settings;

	private final Ticker ticker;

	private final PauseDetector pauseDetector;

	private final Closer closer = new Closer();

	private final InFlightRequests inFlight = new InFlightRequests();

	private final EntryContext context;

	private final HttpServer callers;

	private final HttpServer operators;

	private volatile boolean closed;

	/**
	 * Starts an entry.
	 * @param settings its settings
	 * @throws SSLException if the TLS files cannot be read
	 * @throws IllegalStateException if a port cannot be bound
	 */
	public Entry(EntrySettings settings) throws SSLException {
		this(settings, Ticker.system());
	}

	Entry(EntrySettings settings, Ticker ticker) throws SSLException {
		this.settings = settings;
		this.ticker = ticker;
		this.pauseDetector = new PauseDetector(ticker.nowMs(), MAX_RUN_NOTE_INTERVAL_MS);
		RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
		ConfigurationHolder configuration = new ConfigurationHolder();
		Freshness freshness = new Freshness(settings.timing().confirmationMs());
		UpstreamTable upstreams = new UpstreamTable(this.pauseDetector::ranThroughout);
		TeamLimits limits = new TeamLimits();
		long incarnation = System.currentTimeMillis();
		MembershipTable members = new MembershipTable(new Member(settings.id(), settings.peerAddress(),
				settings.failureDomain(), incarnation, Member.Status.ALIVE), settings.timing().suspicionMs());
		HttpCaller caller = this.closer.register(new HttpCaller(CONNECT_MS, IDLE_CONNECTION_MS));
		ObjectStore store = new HttpObjectStore(caller, settings.platform(), settings.timing().platformMs());
		HttpEngineClient engines = new HttpEngineClient(caller,
				(address, status, notice) -> upstreams.answeredAt(address, status, notice, this.ticker.nowMs()));
		ActionClaims claims = new ActionClaims(store, () -> UUID.randomUUID().toString(),
				() -> System.currentTimeMillis() / 1000);
		Gate gate = new Gate(configuration, freshness, settings.failureDomain(), this.ticker);
		this.context = new EntryContext(settings, this.ticker, gate, upstreams, members, limits,
				new AdmissionQueue(ConcurrencyLimit.adaptive(settings.limits().streams()), settings.limits().waiting()),
				new AdmissionQueue(ConcurrencyLimit.adaptive(settings.limits().plainCalls()),
						settings.limits().plainCalls()),
				new PipelineChooser(upstreams, ChoicePolicy.standard(), this.ticker, random), engines, caller, claims,
				new RetryBudget(RETRY_RATIO, Math.max(MIN_RETRY_RESERVE, settings.limits().streams()), this.ticker),
				new EntryMetrics(), this.closer.register(Tracing.create(settings.id(), settings.otlpEndpoint())),
				new DecisionLog());
		TlsFiles tls = tls(settings);
		PeerTransport transport = new PeerTransport(peerTls(tls), settings.timing().platformMs());
		PeerNode node = new PeerNode(new PeerNode.NodeState(members, configuration, freshness, upstreams, limits),
				transport, this.ticker, random);
		this.closer.register(PeerServer.start(transport, settings.host(), settings.peerPort(), node));
		startLoops(new ConfigurationWatcher(store, configuration, freshness, this.ticker, settings.timing().watchMs()),
				new UpstreamPoller(store, engines, configuration, upstreams, this.ticker), node);
		this.callers = this.closer.register(HttpServer.start(
				new HttpServerSettings(settings.host(), settings.callerPort(), settings.limits().bodyBytes(),
						settings.limits().headerBytes(), settings.timing().requestMs(), callerTls(tls)),
				new CallerHandler(this.context, this.inFlight)));
		this.operators = this.closer.register(HttpServer
			.start(HttpServerSettings.plain(settings.host(), settings.operatorPort()), new OperatorHandler(this.context,
					configuration, freshness, this.inFlight, () -> Thread.startVirtualThread(() -> System.exit(0)))));
		logger.atInfo().log("entry %s serves callers on port %d", settings.id(), this.callers.port());
	}

	/**
	 * Returns the port for callers.
	 * @return the bound port
	 */
	public int callerPort() {
		return this.callers.port();
	}

	/**
	 * Returns the port for operators.
	 * @return the bound port
	 */
	public int operatorPort() {
		return this.operators.port();
	}

	/**
	 * Stops gracefully. The entry reports at once that it is not ready. It accepts new
	 * requests until the notice is over and refuses them afterwards. Requests in progress
	 * complete; at the drain limit the remaining ones send an error with their outcome.
	 * Then everything is closed. If the notice was already over when the stop was
	 * handled, new requests are refused at once.
	 * @return how many requests were cut off because the drain limit was reached
	 * @throws InterruptedException if the thread is interrupted
	 */
	public int stop() throws InterruptedException {
		// The times are computed once, from the earliest moment at which the signal may
		// have been sent: whoever waits for the exit does not wait longer for a process
		// that was suspended before the stop or during the notice.
		long handledMs = this.ticker.nowMs();
		long signalledMs = this.pauseDetector.earliestArrivalMs(handledMs);
		long rejectFromMs = signalledMs + this.settings.timing().noticeMs();
		long exitDeadlineMs = rejectFromMs + this.settings.timing().drainMs();
		logger.atInfo()
			.log("entry %s is stopping: %d requests in progress, signal handled %d ms late", this.settings.id(),
					this.inFlight.count(), handledMs - signalledMs);
		this.context.gate().setExitDeadline(exitDeadlineMs);
		this.callers.drainConnections();
		this.context.members().leave(this.ticker.nowMs());
		this.context.gate().rejectRequestsAfter(rejectFromMs - this.ticker.nowMs());
		this.callers.refuseIncomplete();
		int left = this.inFlight.awaitNone(exitDeadlineMs - this.ticker.nowMs());
		if (left > 0) {
			logger.atSevere()
				.log("entry %s cuts off %d requests: the drain limit of %d ms is reached", this.settings.id(), left,
						this.settings.timing().drainMs());
			this.inFlight.awaitNone(FINAL_ERROR_MS);
		}
		close();
		logger.atInfo().log("entry %s has stopped", this.settings.id());
		return left;
	}

	@Override
	public void close() {
		this.closed = true;
		this.closer.close();
	}

	private void startLoops(ConfigurationWatcher configurationWatch, UpstreamPoller upstreamPoller, PeerNode node) {
		startLoop("running", RUN_NOTE_INTERVAL_MS, () -> {
			this.pauseDetector.recordActivity(this.ticker.nowMs());
			return true;
		});
		startLoop("configuration", 0, configurationWatch::step);
		startLoop("upstreams", this.settings.timing().instancesMs(), upstreamPoller::step);
		startLoop("gossip", this.settings.timing().gossipMs(), () -> {
			node.gossip(this.settings.seeds());
			return true;
		});
		startLoop("limits", 1000, () -> {
			node.renewLoans();
			return true;
		});
		startLoop("claims", 1000, () -> {
			this.context.metrics().state("given_up_claims", this.context.claims().sweepAbandoned());
			return true;
		});
	}

	private void startLoop(String name, long periodMs, BooleanSupplier step) {
		Thread.ofVirtual().name("whin-" + name).start(() -> {
			while (!this.closed) {
				try {
					this.ticker.sleepMs(runStep(name, step) ? periodMs : Math.max(RETRY_DELAY_MS, periodMs));
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		});
	}

	private static boolean runStep(String name, BooleanSupplier step) {
		try {
			return step.getAsBoolean();
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("the %s loop failed and will be retried", name);
			return false;
		}
	}

	private TlsFiles tls(EntrySettings settings) throws SSLException {
		EntrySettings.Tls files = settings.tls();
		if (files == null) {
			return null;
		}
		File authority = files.authority().toFile();
		return new TlsFiles(files.certificate().toFile(), files.key().toFile(), authority, this.ticker);
	}

	private static Supplier<SslContext> callerTls(TlsFiles tls) {
		return (tls != null) ? tls::forCallers : null;
	}

	private static Supplier<SSLContext> peerTls(TlsFiles tls) {
		return (tls != null) ? tls::forPeers : null;
	}

}
