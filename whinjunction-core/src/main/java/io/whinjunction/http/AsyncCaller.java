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
 * Makes outgoing calls through AsyncHttpClient without blocking, on one event loop that
 * the rest of a process runs on too.
 * <p>
 * Invariants: a call is written at most once; its result comes once, on the event loop,
 * at the latest when its time limit is over. Confined to the event loop.
 */
public final class AsyncCaller implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The library's limit goes off after ours, so that ours decides. */
	private static final long LIBRARY_SLACK_MS = 2000;

	/** Connecting inside a region takes milliseconds; a lost packet costs a second. */
	private static final int CONNECT_TIMEOUT_MS = 500;

	/** Shorter than what lies between keeps track of idle connections. */
	private static final int IDLE_CONNECTION_MS = 10_000;

	/** The library's timer decides nothing here; a slow tick costs fewer wake-ups. */
	private static final long TICK_MS = 1000;

	private final EventLoop loop;

	private final HashedWheelTimer timer;

	private final AsyncHttpClient client;

	/** Raised by each silent call; kept connections of older epochs are left. */
	private final Map<String, Integer> epochs = new HashMap<>();

	/**
	 * A caller.
	 * @param group the group whose first event loop everything runs on
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
			.setSslEngineFactory(AsyncCaller::noTls)
			.build());
	}

	/**
	 * Makes one call.
	 * @param call what to send
	 * @param done takes what is known of it
	 */
	public void call(Call call, Consumer<CallResult> done) {
		Pending pending = new Pending(call, done);
		int epoch = this.epochs.getOrDefault(call.address(), 0);
		ListenableFuture<Response> future = LibraryCalls
			.request(this.client, call, epoch, Duration.ofMillis(call.timeoutMs() + LIBRARY_SLACK_MS))
			.execute(new LibraryCalls.Observer((result) -> this.loop.execute(() -> pending.end(result))));
		pending.limit(future);
	}

	// The library would read all trusted certificates when it starts, 150 ms of a core,
	// for calls that are never encrypted.
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

	/** A call under way; confined to the event loop. */
	private final class Pending {

		private final Call call;

		private final Consumer<CallResult> done;

		private boolean ended;

		private Future<?> limit;

		Pending(Call call, Consumer<CallResult> done) {
			this.call = call;
			this.done = done;
		}

		void limit(ListenableFuture<Response> future) {
			if (!this.ended) {
				this.limit = AsyncCaller.this.loop.schedule(() -> onTimeout(future), this.call.timeoutMs(),
						TimeUnit.MILLISECONDS);
			}
		}

		private void onTimeout(ListenableFuture<Response> future) {
			if (this.ended) {
				return;
			}
			// Something between the two ends may have lost track of all open connections;
			// each kept one would cost a whole time limit.
			AsyncCaller.this.epochs.merge(this.call.address(), 1, Integer::sum);
			String reason = "no answer in " + this.call.timeoutMs() + " ms";
			end(new CallResult.Lost(reason, true));
			future.abort(new TimeoutException(reason));
		}

		void end(CallResult result) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.limit != null) {
				this.limit.cancel(false);
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
