package io.whinjunction.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.whinjunction.time.Ticker;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Response;

/**
 * Makes outgoing calls through AsyncHttpClient and blocks the calling virtual thread.
 * <p>
 * Invariant: a call is written at most once. The library's retries and redirects are
 * disabled, because either could repeat an action that ran but whose response was lost;
 * the caller decides on retries from the {@link CallResult}. Thread-safe.
 */
public final class HttpCaller implements AutoCloseable {

	/**
	 * Added to the library's timeout. Every call is bounded by {@link StallAwareTimeout};
	 * the library's timer also fires after a stall of this process, so it is set beyond
	 * any stall worth waiting for.
	 */
	private static final long LIBRARY_SLACK_MS = 60_000;

	/** The longest answer of a service, which is passed on as a whole, in bytes. */
	private static final long MAX_BODY_BYTES = 1 << 26;

	private final Ticker ticker = Ticker.system();

	private final AsyncHttpClient client;

	/**
	 * The connection epoch of each address. A call that times out increments it, so that
	 * pooled connections of older epochs are not reused.
	 */
	private final ConcurrentMap<String, Integer> epochs = new ConcurrentHashMap<>();

	/**
	 * Creates a caller with its own connection pool.
	 * @param connectTimeoutMs the connect timeout, in milliseconds
	 * @param idleConnectionMs how long an idle connection is pooled, in milliseconds;
	 * shorter than the idle time-out of middleboxes, so that dead connections are rarely
	 * reused
	 */
	public HttpCaller(int connectTimeoutMs, int idleConnectionMs) {
		this.client = Dsl.asyncHttpClient(
				new DefaultAsyncHttpClientConfig.Builder().setConnectTimeout(Duration.ofMillis(connectTimeoutMs))
					.setPooledConnectionIdleTimeout(Duration.ofMillis(idleConnectionMs))
					.setMaxRequestRetry(0)
					.setFollowRedirect(false)
					.setKeepAlive(true)
					.setUseProxySelector(false)
					.setHttpAdditionalChannelInitializer(ResponseGuard::install)
					.setIoThreadsCount(Math.min(4, Runtime.getRuntime().availableProcessors()))
					.setThreadPoolName("whin-http")
					.build());
	}

	/**
	 * Makes one call.
	 * @param call the call to send
	 * @return its result
	 */
	public CallResult call(Call call) {
		// The result is taken from the future; the observer only tracks whether the
		// request was written.
		LibraryCalls.Observer observer = new LibraryCalls.Observer(MAX_BODY_BYTES, (result) -> {
		});
		ListenableFuture<Response> future = null;
		try {
			int epoch = this.epochs.getOrDefault(call.address(), 0);
			Duration libraryTimeout = Duration
				.ofMillis(StallAwareTimeout.maxWaitMs(call.timeoutMs()) + LIBRARY_SLACK_MS);
			future = LibraryCalls.request(this.client, call, epoch, libraryTimeout).execute(observer);
			ListenableFuture<Response> pending = future;
			if (new StallAwareTimeout(call.timeoutMs(), this.ticker)
				.await((durationMs) -> isDone(pending, durationMs))) {
				return LibraryCalls.response(future.get());
			}
			future.cancel(true);
			// Guards against a middlebox that has dropped the state of all open
			// connections: each pooled one would cost a full timeout. A new epoch
			// abandons all of them after the first timeout, and new connections are
			// opened.
			this.epochs.merge(call.address(), 1, Integer::sum);
			// No byte is written after cancel; the result depends on what was written
			// before.
			return observer.lost("no answer in " + call.timeoutMs() + " ms", true);
		}
		catch (ExecutionException ex) {
			boolean silent = ex.getCause() instanceof TimeoutException;
			return observer.lost(String.valueOf(ex.getCause()), silent);
		}
		catch (IllegalArgumentException ex) {
			// The library cannot build the request, for example because the path is not a
			// valid URL.
			return observer.lost(String.valueOf(ex.getMessage()), false);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			future.cancel(true);
			return observer.lost("interrupted", false);
		}
	}

	private static boolean isDone(ListenableFuture<Response> future, long durationMs)
			throws InterruptedException, ExecutionException {
		try {
			future.get(durationMs, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (TimeoutException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
