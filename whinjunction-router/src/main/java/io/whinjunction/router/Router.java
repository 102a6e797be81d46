package io.whinjunction.router;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerCodec;
import io.whinjunction.forward.FleetRetryBudget;
import io.whinjunction.http.server.StrictRequestDecoder;
import io.whinjunction.proof.ConfigurationProof;
import io.whinjunction.routing.CallerLimits;
import io.whinjunction.routing.RoutingConfiguration;
import io.whinjunction.time.BootClock;
import io.whinjunction.time.Closer;
import io.whinjunction.time.Ticker;

/**
 * One routing process.
 * <p>
 * Everything runs on one event loop: instances have less than one core, and a request
 * touches a table, two connections and a few counters. Invariant: state is touched on the
 * loop only; {@link #start} and {@link #close} may be called from any thread.
 */
public final class Router implements RouterContext, AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * What a request may take from the check of its key to the upstream, in milliseconds:
	 * connecting with its longest time limit.
	 */
	private static final long KEY_MARGIN_MS = 600;

	/** The pause between two looks at idle connections, in milliseconds. */
	private static final long SWEEP_MS = 500;

	private static final int BACKLOG = 1024;

	private static final int MAX_HEAD_BYTES = CallerLimits.DEFAULT.maxHeaderBytes();

	private final EventLoop loop;

	private final RouterSettings settings;

	private final Dialect dialect;

	private final Ticker ticker = Ticker.system();

	private final BootClock boot;

	private final RouterMetrics metrics;

	private final ConfigurationProof proof;

	private final UpstreamDirectory directory;

	private final UpstreamPool pool;

	private final TargetChooser chooser;

	private final ConfigurationKeeper configurationKeeper;

	private final DirectoryKeeper directoryKeeper;

	private final Leadership leadership;

	private final LayerKeeper layerKeeper;

	private final Map<String, FleetRetryBudget> budgets = new HashMap<>();

	private final Set<CallerConnection> callers = new HashSet<>();

	private final Closer closer = new Closer();

	private volatile Channel callerListener;

	private boolean stopping;

	/**
	 * A router.
	 * @param group its one event loop
	 * @param settings its settings
	 * @param ports what it speaks with the platform
	 * @param boot a clock that counts suspensions
	 */
	public Router(EventLoopGroup group, RouterSettings settings, Ports ports, BootClock boot) {
		this.loop = group.next();
		this.settings = settings;
		this.dialect = ports.dialect();
		this.metrics = ports.metrics();
		this.boot = boot;
		this.proof = new ConfigurationProof(settings.bounds().keysMs() - KEY_MARGIN_MS,
				settings.bounds().configurationMs());
		this.pool = new UpstreamPool(this.loop, this.dialect, this.ticker);
		this.directory = new UpstreamDirectory((upstream) -> this.pool.drop(upstream.id()));
		this.chooser = new TargetChooser(this.directory, settings.failureDomain());
		this.configurationKeeper = new ConfigurationKeeper(this.loop, ports.store(), this.proof, boot);
		this.leadership = new Leadership(this.loop, ports.store(), settings.name(), this.ticker,
				() -> UUID.randomUUID().toString());
		this.layerKeeper = new LayerKeeper(this, ports.engines(), this.leadership);
		this.directoryKeeper = new DirectoryKeeper(this.loop, ports.store(), this.directory, this.layerKeeper::plan);
	}

	/** Starts to listen and to keep what the store has. */
	public void start() {
		this.loop.execute(() -> {
			this.configurationKeeper.start();
			this.directoryKeeper.start();
			this.leadership.start();
			this.layerKeeper.start();
			this.loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
		});
		ReadyHandler ready = new ReadyHandler(this.dialect.readyPath(), this::ready, this.metrics);
		listen(this.settings.ready(), (channel) -> channel.pipeline().addLast(new HttpServerCodec(), ready));
		if (this.settings.metrics() != null) {
			listen(this.settings.metrics(), (channel) -> channel.pipeline().addLast(new HttpServerCodec(), ready));
		}
		this.callerListener = listen(this.settings.callers(), this::initializeCaller);
		logger.atInfo()
			.log("event=started name=%s domain=%s callers=%s", this.settings.name(), this.settings.failureDomain(),
					this.settings.callers());
	}

	private void initializeCaller(SocketChannel channel) {
		HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES)
			.setMaxInitialLineLength(MAX_HEAD_BYTES);
		channel.pipeline()
			.addLast(new StrictRequestDecoder(config), new HttpResponseEncoder(), new CallerConnection(this));
	}

	private Channel listen(InetSocketAddress address, Consumer<SocketChannel> initializer) {
		ChannelHandler children = new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				initializer.accept(channel);
			}

		};
		Channel listener = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(children)
			.bind(address)
			.syncUninterruptibly()
			.channel();
		this.closer.register(listener::close);
		return listener;
	}

	/**
	 * Stops: no new callers are wanted, what is in progress goes on, and the process is
	 * free to end once nothing is.
	 * @param stopped is run when it is
	 */
	public void stop(Runnable stopped) {
		this.loop.execute(() -> {
			if (this.stopping) {
				return;
			}
			this.stopping = true;
			logger.atInfo().log("event=stopping callers=%d", this.callers.size());
			this.leadership.stop();
			new StopSequence(this, this.settings.bounds().graceMs(), this.callerListener::close, stopped).start();
		});
	}

	/** Reads what may have changed from outside at once. */
	public void reload() {
		this.loop.execute(() -> logger.atInfo().log("event=reload"));
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private boolean ready() {
		return !this.stopping && configuration() != null && this.directoryKeeper.listed()
				&& this.proof.honoursKeys(this.boot.nowMs());
	}

	private void sweep() {
		this.pool.sweep();
		long idleMs = (configuration() != null) ? configuration().limits().idleTimeoutMs()
				: CallerLimits.DEFAULT.idleTimeoutMs();
		long nowMs = nowMs();
		Set.copyOf(this.callers).forEach((caller) -> caller.endIfQuiet(nowMs, idleMs));
		this.metrics.state("version", (configuration() != null) ? configuration().version() : -1);
		this.metrics.state("proof_age_ms", this.proof.ageMs(this.boot.nowMs()));
		this.metrics.state("upstreams", this.directory.size());
		this.metrics.state("callers", this.callers.size());
		this.metrics.state("leading", this.leadership.holds() ? 1 : 0);
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
	public RoutingConfiguration configuration() {
		return this.configurationKeeper.configuration();
	}

	@Override
	public ConfigurationProof proof() {
		return this.proof;
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
	public FleetRetryBudget budget(String service) {
		RouterSettings.Bounds bounds = this.settings.bounds();
		return this.budgets.computeIfAbsent(service,
				(name) -> new FleetRetryBudget(bounds.repeatRatio(), bounds.repeatSlack(), bounds.repeatWindowMs()));
	}

	@Override
	public FleetShare fleet() {
		return new FleetShare(8, 2.5);
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
		return this.stopping;
	}

	@Override
	public void suspect(String address) {
		this.layerKeeper.plan();
	}

	/**
	 * What a router speaks with the platform. Immutable.
	 *
	 * @param dialect the names on the wire
	 * @param store the platform's store
	 * @param engines reports and orders
	 * @param metrics counters that all of them share
	 */
	public record Ports(Dialect dialect, FleetStore store, EngineControl engines, RouterMetrics metrics) {
	}

}
