package io.whinjunction.http;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;

/**
 * Converts calls and results to and from the types of AsyncHttpClient. Stateless.
 */
final class LibraryCalls {

	private LibraryCalls() {
	}

	/**
	 * Builds a request.
	 * @param client the library's client
	 * @param call the call to send
	 * @param epoch the connection epoch; pooled connections of other epochs are not
	 * reused
	 * @param limit the library's own timeout
	 * @return the request, not yet sent
	 */
	static BoundRequestBuilder request(AsyncHttpClient client, Call call, int epoch, Duration limit) {
		BoundRequestBuilder request = client.prepare(call.method(), "http://" + call.address() + call.pathAndQuery());
		for (Map.Entry<String, String> header : call.headers()) {
			request.addHeader(header.getKey(), header.getValue());
		}
		Object partition = new Partition(call.address(), epoch);
		if (call.freshConnection()) {
			// The partition key is unique to the call, so no pooled connection matches
			// it.
			request.setHeader("connection", "close");
			partition = new Object();
		}
		Object poolKey = partition;
		request.setChannelPoolPartitioning((uri, virtualHost, proxy) -> poolKey);
		if (call.body().length > 0) {
			request.setBody(call.body());
		}
		return request.setRequestTimeout(limit).setReadTimeout(limit);
	}

	/**
	 * Converts a response of the library.
	 * @param response the library's response
	 * @return the call result
	 */
	static CallResult.Response response(Response response) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		response.getHeaders().forEach((header) -> headers.add(Map.entry(header.getKey(), header.getValue())));
		return new CallResult.Response(response.getStatusCode(), headers, response.getResponseBodyAsBytes());
	}

	private record Partition(String address, int epoch) {
	}

	/**
	 * Receives a call's result and records when the request is handed to a connected
	 * channel, after which it counts as written.
	 * <p>
	 * Guards against an action that runs twice: on a machine short of CPU a call times
	 * out before it has connected. It is reported as not sent and is made again to
	 * another upstream; if the library then wrote it after all, the action would run
	 * twice. Whichever happens first decides: a call that was reported as not sent can no
	 * longer be written, and the library drops the connection instead. Safe for use by
	 * the library's threads.
	 */
	static final class Observer extends AsyncCompletionHandler<Response> {

		private final Consumer<CallResult> done;

		private final long maxBodyBytes;

		private volatile long bodyBytes;

		private final AtomicReference<Fate> state = new AtomicReference<>(Fate.PENDING);

		/**
		 * Creates an observer.
		 * @param maxBodyBytes the longest response, which is buffered completely, in
		 * bytes
		 * @param done receives the result; may be called on a thread of the library
		 */
		Observer(long maxBodyBytes, Consumer<CallResult> done) {
			this.maxBodyBytes = maxBodyBytes;
			this.done = done;
		}

		@Override
		public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
			this.bodyBytes += part.length();
			if (tooLong()) {
				throw new IOException("a response of more than " + this.maxBodyBytes + " bytes");
			}
			return super.onBodyPartReceived(part);
		}

		private boolean tooLong() {
			return this.bodyBytes > this.maxBodyBytes;
		}

		boolean written() {
			return this.state.get() == Fate.WRITTEN;
		}

		@Override
		public void onRequestSend(NettyRequest request) {
			if (!this.state.compareAndSet(Fate.PENDING, Fate.WRITTEN) && !written()) {
				throw new IllegalStateException("the call was abandoned before it was written");
			}
		}

		@Override
		public Response onCompleted(Response response) {
			this.done.accept(LibraryCalls.response(response));
			return response;
		}

		@Override
		public void onThrowable(Throwable cause) {
			this.done.accept(lost(String.valueOf(cause), cause instanceof TimeoutException));
		}

		/**
		 * Returns the result of a call without a complete response. A call that has not
		 * been written by now never will be.
		 * @param reason the reason, for the log
		 * @param silent whether the call timed out
		 * @return the result
		 */
		CallResult lost(String reason, boolean silent) {
			this.state.compareAndSet(Fate.PENDING, Fate.ABANDONED);
			return written() ? new CallResult.Lost(reason, silent, tooLong()) : new CallResult.NotSent(reason);
		}

		private enum Fate {

			PENDING, WRITTEN, ABANDONED

		}

	}

}
