package io.whinjunction.http;

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
import org.asynchttpclient.Response;
import org.asynchttpclient.netty.request.NettyRequest;

/**
 * Calls and results in the types of AsyncHttpClient. Stateless.
 */
final class LibraryCalls {

	private LibraryCalls() {
	}

	/**
	 * Builds a request.
	 * @param client the library's client
	 * @param call what to send
	 * @param epoch kept connections of other epochs are not used
	 * @param limit the library's own time limit
	 * @return the request, not sent yet
	 */
	static BoundRequestBuilder request(AsyncHttpClient client, Call call, int epoch, Duration limit) {
		BoundRequestBuilder request = client.prepare(call.method(), "http://" + call.address() + call.pathAndQuery());
		for (Map.Entry<String, String> header : call.headers()) {
			request.addHeader(header.getKey(), header.getValue());
		}
		Object partition = new Partition(call.address(), epoch);
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
		return request.setRequestTimeout(limit).setReadTimeout(limit);
	}

	/**
	 * Translates a response.
	 * @param response the library's
	 * @return ours
	 */
	static CallResult.Response response(Response response) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		response.getHeaders().forEach((header) -> headers.add(Map.entry(header.getKey(), header.getValue())));
		return new CallResult.Response(response.getStatusCode(), headers, response.getResponseBodyAsBytes());
	}

	private record Partition(String address, int epoch) {
	}

	/**
	 * Hears of a call's end, and notes when the request is handed to a connected channel:
	 * the point of no return.
	 * <p>
	 * The failure it is there for: on a starved machine a call's time is over before it
	 * has connected. It is told as not sent, and another one is made elsewhere; if the
	 * library then still wrote it, an action would run twice. Whoever is first decides: a
	 * call that was told as not sent may no longer be written, and the library drops the
	 * connection instead. Safe for the library's threads.
	 */
	static final class Observer extends AsyncCompletionHandler<Response> {

		private final Consumer<CallResult> done;

		private final AtomicReference<Fate> fate = new AtomicReference<>(Fate.OPEN);

		/**
		 * An observer.
		 * @param done takes the result; may be called on a thread of the library
		 */
		Observer(Consumer<CallResult> done) {
			this.done = done;
		}

		boolean written() {
			return this.fate.get() == Fate.WRITTEN;
		}

		@Override
		public void onRequestSend(NettyRequest request) {
			if (!this.fate.compareAndSet(Fate.OPEN, Fate.WRITTEN) && !written()) {
				throw new IllegalStateException("the call was given up before it was written");
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
		 * What is known where no whole response came. A call that was not written by now
		 * never will be.
		 * @param reason why
		 * @param silent whether a time limit ended it
		 * @return the result
		 */
		CallResult lost(String reason, boolean silent) {
			this.fate.compareAndSet(Fate.OPEN, Fate.GIVEN_UP);
			return written() ? new CallResult.Lost(reason, silent) : new CallResult.NotSent(reason);
		}

		private enum Fate {

			OPEN, WRITTEN, GIVEN_UP

		}

	}

}
