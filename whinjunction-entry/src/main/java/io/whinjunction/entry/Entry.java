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
import io.whinjunction.time.RunningTimes;
import io.whinjunction.time.Ticker;
import io.whinjunction.tls.TlsFiles;
import io.whinjunction.trace.Tracing;

/**
 * One running entry: everything between callers and upstreams.
 * <p>
 * Invariant: {@link #stop()} cuts off no request in progress unless the operator's limit
 * is reached, which is logged. The stop counts from when its signal may have come, by
 * {@link Ticker#system()}: a stopped or starved process is seen, a suspended machine is
 * not. Safe for all threads.
 */
public final class Entry implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int CONNECT_MS = 500;

	private static final int IDLE_CONNECTION_MS = 10_000;

	private static final double RETRY_PART = 0.1;

	/** The least reserve; an engine that dies takes a stage from every running draft. */
	private static final int RETRY_RESERVE = 20;

	/**
	 * How long requests that the drain limit ends may take to tell their callers: a look
	 * of those that wait, and the steps of one token.
	 */
	private static final long LAST_WORDS_MS = 500;

	/** After a failed call a loop waits a little, so that an outage is not hammered. */
	private static final long PAUSE_MS = 200;

	/**
	 * The pause between two notes that the process runs, in milliseconds. A late signal
	 * may be dated too early by so much, which is half of the default notice.
	 */
	private static final long NOTE_MS = 500;

	/**
	 * The longest pause between two notes of a process that runs, in milliseconds: a note
	 * may be as late as its whole pause.
	 */
	private static final long LONGEST_PAUSE_MS = 2 * NOTE_MS;

	private final EntrySettings settings;

	private final Ticker ticker;

	private final RunningTimes runningTimes;

	private final Closer closer = new Closer();

	private final InProgress inProgress = new InProgress();

	private final EntryParts parts;

	private final HttpServer callers;

	private final HttpServer operators;

	private volatile boolean closed;

	/**
	 * Starts an entry.
	 * @param settings its settings
	 * @throws SSLException where the TLS files cannot be read
	 * @throws IllegalStateException where a port cannot be bound
	 */
	public Entry(EntrySettings settings) throws SSLException {
		this(settings, Ticker.system());
	}

	Entry(EntrySettings settings, Ticker ticker) throws SSLException {
		this.settings = settings;
		this.ticker = ticker;
		RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
		ConfigurationHolder configuration = new ConfigurationHolder();
		Freshness freshness = new Freshness(settings.timing().confirmationMs());
		UpstreamTable upstreams = new UpstreamTable();
		TeamLimits limits = new TeamLimits();
		long incarnation = System.currentTimeMillis();
		MembershipTable members = new MembershipTable(new Member(settings.id(), settings.peerAddress(),
				settings.failureDomain(), incarnation, Member.Status.ALIVE), settings.timing().suspicionMs());
		HttpCaller caller = this.closer.register(new HttpCaller(CONNECT_MS, IDLE_CONNECTION_MS));
		ObjectStore store = new HttpObjectStore(caller, settings.platform(), settings.timing().platformMs());
		HttpEngineClient engines = new HttpEngineClient(caller);
		ActionClaims claims = new ActionClaims(store, () -> UUID.randomUUID().toString(),
				() -> System.currentTimeMillis() / 1000);
		Gate gate = new Gate(configuration, freshness, settings.failureDomain(), this.ticker);
		this.parts = new EntryParts(settings, this.ticker, gate, upstreams, members, limits,
				new AdmissionQueue(ConcurrencyLimit.learned(settings.limits().streams()), settings.limits().waiting()),
				new AdmissionQueue(ConcurrencyLimit.learned(settings.limits().plainCalls()),
						settings.limits().plainCalls()),
				new PipelineChooser(upstreams, ChoicePolicy.standard(), this.ticker, random), engines, caller, claims,
				new RetryBudget(RETRY_PART, Math.max(RETRY_RESERVE, settings.limits().streams())), new EntryMetrics(),
				this.closer.register(Tracing.create(settings.id(), settings.otlpEndpoint())), new DecisionLog());
		TlsFiles tls = tls(settings);
		PeerTransport transport = new PeerTransport(peerTls(tls), settings.timing().platformMs());
		PeerNode node = new PeerNode(new PeerNode.NodeState(members, configuration, freshness, upstreams, limits),
				transport, this.ticker, random);
		this.closer.register(PeerServer.start(transport, settings.host(), settings.peerPort(), node));
		this.runningTimes = new RunningTimes(ticker.nowMs(), LONGEST_PAUSE_MS);
		loops(new ConfigurationWatch(store, configuration, freshness, this.ticker, settings.timing().watchMs()),
				new UpstreamWatch(store, engines, configuration, upstreams), node);
		this.callers = this.closer.register(HttpServer.start(
				new HttpServerSettings(settings.host(), settings.callerPort(), settings.limits().bodyBytes(),
						settings.limits().headerBytes(), settings.timing().requestMs(), callerTls(tls)),
				new CallerHandler(this.parts, this.inProgress)));
		this.operators = this.closer.register(HttpServer
			.start(HttpServerSettings.plain(settings.host(), settings.operatorPort()), new OperatorHandler(this.parts,
					configuration, freshness, this.inProgress, () -> Thread.startVirtualThread(() -> System.exit(0)))));
		logger.atInfo().log("entry %s serves callers on port %d", settings.id(), this.callers.port());
	}

	/**
	 * The callers' port.
	 * @return the bound port
	 */
	public int callerPort() {
		return this.callers.port();
	}

	/**
	 * The operators' port.
	 * @return the bound port
	 */
	public int operatorPort() {
		return this.operators.port();
	}

	/**
	 * Stops gracefully: not ready at once, new requests are still taken for a notice,
	 * then refused; what is in progress ends; at the drain limit the rest is told how far
	 * it came; then everything is closed. A notice that was over before the stop was
	 * handled is none: new requests are refused at once.
	 * @return how many requests were cut off because the operator's limit was reached
	 * @throws InterruptedException where the thread is interrupted
	 */
	public int stop() throws InterruptedException {
		// Counted once, and from when the signal may have come: whoever waits for the end
		// does not wait longer for a process that stood still before its stop or in its
		// notice.
		long handledMs = this.ticker.nowMs();
		long signalledMs = this.runningTimes.earliestOf(handledMs);
		long refusesAtMs = signalledMs + this.settings.timing().noticeMs();
		long endsAtMs = refusesAtMs + this.settings.timing().drainMs();
		logger.atInfo()
			.log("entry %s is stopping, %d in progress, handled %d ms late", this.settings.id(),
					this.inProgress.count(), handledMs - signalledMs);
		this.parts.gate().endsAt(endsAtMs);
		this.callers.drainConnections();
		this.parts.members().leave(this.ticker.nowMs());
		this.parts.gate().stopAfter(refusesAtMs - this.ticker.nowMs());
		this.callers.refuseIncomplete();
		int left = this.inProgress.awaitNone(endsAtMs - this.ticker.nowMs());
		if (left > 0) {
			logger.atSevere()
				.log("entry %s cuts off %d requests: the drain limit of %d ms is reached", this.settings.id(), left,
						this.settings.timing().drainMs());
			this.inProgress.awaitNone(LAST_WORDS_MS);
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

	private void loops(ConfigurationWatch configurationWatch, UpstreamWatch upstreamWatch, PeerNode node) {
		loop("running", NOTE_MS, () -> {
			this.runningTimes.note(this.ticker.nowMs());
			return true;
		});
		loop("configuration", 0, configurationWatch::step);
		loop("upstreams", this.settings.timing().instancesMs(), upstreamWatch::step);
		loop("gossip", this.settings.timing().gossipMs(), () -> {
			node.gossip(this.settings.seeds());
			return true;
		});
		loop("limits", 1000, () -> {
			node.renewLoans();
			return true;
		});
		loop("claims", 1000, () -> {
			this.parts.metrics().state("given_up_claims", this.parts.claims().sweepGivenUp());
			return true;
		});
	}

	private void loop(String name, long periodMs, BooleanSupplier step) {
		Thread.ofVirtual().name("whin-" + name).start(() -> {
			while (!this.closed) {
				try {
					this.ticker.sleepMs(well(name, step) ? periodMs : Math.max(PAUSE_MS, periodMs));
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		});
	}

	private static boolean well(String name, BooleanSupplier step) {
		try {
			return step.getAsBoolean();
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("the %s loop failed and goes on", name);
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
