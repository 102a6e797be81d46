package io.whinjunction.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;

/**
 * Makes outgoing calls through AsyncHttpClient and blocks the calling virtual thread.
 * <p>
 * Invariant: a call is written at most once. The library's own retries and redirects are
 * off, since either would repeat an action that ran although its answer was lost; the
 * caller decides on retries from {@link CallResult}. Safe for all threads.
 */
public final class HttpCaller implements AutoCloseable {

	/** The library's limit goes off a little after ours, so that ours decides. */
	private static final long LIBRARY_SLACK_MS = 200;

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
		AtomicBoolean written = new AtomicBoolean();
		ListenableFuture<Response> future = null;
		try {
			future = request(call).execute(new WriteObserver(written));
			Response response = future.get(call.timeoutMs(), TimeUnit.MILLISECONDS);
			return new CallResult.Response(response.getStatusCode(), headers(response),
					response.getResponseBodyAsBytes());
		}
		catch (TimeoutException ex) {
			future.cancel(true);
			// The failure: something between the two ends has lost track of all open
			// connections; each kept one would cost a whole timeout. A new epoch leaves
			// them all at the first, and new connections are tried.
			this.epochs.merge(call.address(), 1, Integer::sum);
			// After cancel no byte can follow; what was written before it counts.
			return lost(written, "no answer in " + call.timeoutMs() + " ms", true);
		}
		catch (ExecutionException ex) {
			boolean silent = ex.getCause() instanceof TimeoutException;
			return lost(written, String.valueOf(ex.getCause()), silent);
		}
		catch (IllegalArgumentException ex) {
			// The library can't form the request, a path that is no URL for example.
			return lost(written, String.valueOf(ex.getMessage()), false);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			future.cancel(true);
			return lost(written, "interrupted", false);
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

	private BoundRequestBuilder request(Call call) {
		BoundRequestBuilder request = this.client.prepare(call.method(),
				"http://" + call.address() + call.pathAndQuery());
		for (Map.Entry<String, String> header : call.headers()) {
			request.addHeader(header.getKey(), header.getValue());
		}
		Object partition = new Partition(call.address(), this.epochs.getOrDefault(call.address(), 0));
		if (call.freshConnection()) {
			// A key of its own per call: no kept connection can match it.
			request.setHeader("connection", "close");
			partition = new Object();
		}
		Object chosen = partition;
		request.setChannelPoolPartitioning((uri, virtualHost, proxy) -> chosen);
		if (call.body().length > 0) {
			request.setBody(call.body());
		}
		long limitMs = call.timeoutMs() + LIBRARY_SLACK_MS;
		return request.setRequestTimeout(Duration.ofMillis(limitMs)).setReadTimeout(Duration.ofMillis(limitMs));
	}

	private static CallResult lost(AtomicBoolean written, String reason, boolean silent) {
		return written.get() ? new CallResult.Lost(reason, silent) : new CallResult.NotSent(reason);
	}

	private static List<Map.Entry<String, String>> headers(Response response) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		response.getHeaders().forEach((header) -> headers.add(Map.entry(header.getKey(), header.getValue())));
		return headers;
	}

	private record Partition(String address, int epoch) {
	}

	/**
	 * Notes when the request is handed to a connected channel: the point of no return.
	 */
	private static final class WriteObserver extends AsyncCompletionHandler<Response> {

		private final AtomicBoolean written;

		WriteObserver(AtomicBoolean written) {
			this.written = written;
		}

		@Override
		public void onRequestSend(NettyRequest request) {
			this.written.set(true);
		}

		@Override
		public Response onCompleted(Response response) {
			return response;
		}

		@Override
		public void onThrowable(Throwable cause) {
			// Reported through the future.
		}

	}

}
