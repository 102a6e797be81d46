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
 * Invariant: a call is written at most once. The library's own retries and redirects are
 * off, since either would repeat an action that ran although its answer was lost; the
 * caller decides on retries from {@link CallResult}. Safe for all threads.
 */
public final class HttpCaller implements AutoCloseable {

	/**
	 * Every call is ended by our own limit. The library's timer would also go off where
	 * this process stood still, so it lies beyond any standstill worth waiting for.
	 */
	private static final long LIBRARY_SLACK_MS = 60_000;

	private final Ticker ticker = Ticker.system();

	private final AsyncHttpClient client;

	/**
	 * Raised for an address by each silent call; kept connections of older epochs are
	 * left.
	 */
	private final ConcurrentMap<String, Integer> epochs = new ConcurrentHashMap<>();

	/**
	 * A caller with its own connections.
	 * @param connectTimeoutMs how long connecting may take
	 * @param idleConnectionMs how long an idle connection is kept; shorter than what
	 * middle boxes keep, so that silent ones are rarely met
	 */
	public HttpCaller(int connectTimeoutMs, int idleConnectionMs) {
		this.client = Dsl.asyncHttpClient(
				new DefaultAsyncHttpClientConfig.Builder().setConnectTimeout(Duration.ofMillis(connectTimeoutMs))
					.setPooledConnectionIdleTimeout(Duration.ofMillis(idleConnectionMs))
					.setMaxRequestRetry(0)
					.setFollowRedirect(false)
					.setKeepAlive(true)
					.setUseProxySelector(false)
					.setIoThreadsCount(Math.min(4, Runtime.getRuntime().availableProcessors()))
					.setThreadPoolName("whin-http")
					.build());
	}

	/**
	 * Makes one call.
	 * @param call what to send
	 * @return what is known of it
	 */
	public CallResult call(Call call) {
		// The result is taken from the future; the observer only knows what was written.
		LibraryCalls.Observer observer = new LibraryCalls.Observer((result) -> {
		});
		ListenableFuture<Response> future = null;
		try {
			int epoch = this.epochs.getOrDefault(call.address(), 0);
			Duration limit = Duration.ofMillis(StallAwareTimeout.maxWaitMs(call.timeoutMs()) + LIBRARY_SLACK_MS);
			future = LibraryCalls.request(this.client, call, epoch, limit).execute(observer);
			ListenableFuture<Response> answer = future;
			if (new StallAwareTimeout(call.timeoutMs(), this.ticker).await((durationMs) -> isDone(answer, durationMs))) {
				return LibraryCalls.response(future.get());
			}
			future.cancel(true);
			// The failure: something between the two ends has lost track of all open
			// connections; each kept one would cost a whole timeout. A new epoch leaves
			// them all at the first, and new connections are tried.
			this.epochs.merge(call.address(), 1, Integer::sum);
			// After cancel no byte can follow; what was written before it counts.
			return observer.lost("no answer in " + call.timeoutMs() + " ms", true);
		}
		catch (ExecutionException ex) {
			boolean silent = ex.getCause() instanceof TimeoutException;
			return observer.lost(String.valueOf(ex.getCause()), silent);
		}
		catch (IllegalArgumentException ex) {
			// The library can't form the request, a path that is no URL for example.
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
