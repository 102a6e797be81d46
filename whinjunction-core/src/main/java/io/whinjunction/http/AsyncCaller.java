package io.whinjunction.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import javax.net.ssl.SSLEngine;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Response;

/**
 * Makes outgoing calls through AsyncHttpClient without blocking, on the event loop that
 * the rest of the process also runs on.
 * <p>
 * Invariants: a call is written at most once; its result is delivered exactly once, on
 * the event loop, no later than the call's timeout. Confined to the event loop.
 */
public final class AsyncCaller implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Added to the library's timeout, so that the timeout of this class expires first.
	 */
	private static final long LIBRARY_SLACK_MS = 2000;

	/** Connecting within a region takes milliseconds; a lost packet costs a second. */
	private static final int CONNECT_TIMEOUT_MS = 500;

	/** Shorter than the time for which middleboxes track idle connections. */
	private static final int IDLE_CONNECTION_MS = 10_000;

	/**
	 * The longest answer of a store or an upstream to a call of this process, in bytes.
	 */
	private static final long MAX_BODY_BYTES = 1 << 23;

	/** No result depends on the library's timer, so a long tick saves wake-ups. */
	private static final long TICK_MS = 1000;

	private final EventLoop loop;

	private final HashedWheelTimer timer;

	private final AsyncHttpClient client;

	/**
	 * The connection epoch of each address. A call that times out increments it, so that
	 * pooled connections of older epochs are not reused.
	 */
	private final Map<String, Integer> epochs = new HashMap<>();

	/**
	 * Creates a caller.
	 * @param group the event loop group; everything runs on its next event loop
	 */
	public AsyncCaller(EventLoopGroup group) {
		this.loop = group.next();
		ThreadFactory threads = new DefaultThreadFactory("http-timer", true);
		this.timer = new HashedWheelTimer(threads, TICK_MS, TimeUnit.MILLISECONDS);
		this.client = Dsl.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder().setEventLoopGroup(group)
			.setNettyTimer(this.timer)
			.setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
			.setPooledConnectionIdleTimeout(Duration.ofMillis(IDLE_CONNECTION_MS))
			.setMaxRequestRetry(0)
			.setFollowRedirect(false)
			.setKeepAlive(true)
			.setUseProxySelector(false)
			.addChannelOption(ChannelOption.RCVBUF_ALLOCATOR, BoundedReads.allocator())
			.setHttpAdditionalChannelInitializer(ResponseGuard::install)
			.setSslEngineFactory(AsyncCaller::noTls)
			.build());
	}

	/**
	 * Makes one call.
	 * @param call the call to send
	 * @param done receives the result
	 */
	public void call(Call call, Consumer<CallResult> done) {
		call(call, MAX_BODY_BYTES, done);
	}

	/**
	 * Makes one call whose response is bounded.
	 * @param call the call to send
	 * @param maxBodyBytes the longest body of the response, in bytes; a longer one counts
	 * as lost
	 * @param done receives the result
	 */
	public void call(Call call, long maxBodyBytes, Consumer<CallResult> done) {
		Pending pending = new Pending(call, done);
		int epoch = this.epochs.getOrDefault(call.address(), 0);
		ListenableFuture<Response> future = LibraryCalls
			.request(this.client, call, epoch, Duration.ofMillis(call.timeoutMs() + LIBRARY_SLACK_MS))
			.execute(new LibraryCalls.Observer(maxBodyBytes,
					(result) -> this.loop.execute(() -> pending.complete(result))));
		pending.startTimeout(future);
	}

	// With the default factory the library loads all trusted certificates at start, which
	// takes 150 ms of CPU time, for calls that are never encrypted.
	private static SSLEngine noTls(AsyncHttpClientConfig config, String host, int port) {
		throw new IllegalStateException("calls to " + host + ":" + port + " are not encrypted");
	}

	@Override
	public void close() {
		try {
			this.client.close();
			this.timer.stop();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** A call in progress; confined to the event loop. */
	private final class Pending {

		private final Call call;

		private final Consumer<CallResult> done;

		private boolean completed;

		private Future<?> timeout;

		Pending(Call call, Consumer<CallResult> done) {
			this.call = call;
			this.done = done;
		}

		void startTimeout(ListenableFuture<Response> future) {
			if (!this.completed) {
				this.timeout = AsyncCaller.this.loop.schedule(() -> onTimeout(future), this.call.timeoutMs(),
						TimeUnit.MILLISECONDS);
			}
		}

		private void onTimeout(ListenableFuture<Response> future) {
			if (this.completed) {
				return;
			}
			// A middlebox may have dropped the state of all open connections; each pooled
			// one would then cost a full timeout.
			AsyncCaller.this.epochs.merge(this.call.address(), 1, Integer::sum);
			String reason = "no answer in " + this.call.timeoutMs() + " ms";
			complete(new CallResult.Lost(reason, true));
			future.abort(new TimeoutException(reason));
		}

		void complete(CallResult result) {
			if (this.completed) {
				return;
			}
			this.completed = true;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			try {
				this.done.accept(result);
			}
			catch (RuntimeException ex) {
				logger.atSevere().withCause(ex).log("event=callback-failed path=%s", this.call.pathAndQuery());
			}
		}

	}

}
