package io.whinjunction.http.server;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * An exchange on one HTTP/1.1 connection or HTTP/2 stream.
 * <p>
 * Invariant: exactly one of reply, end and abort reaches the channel; if the handler
 * fails or calls none of them, the server completes the exchange. The handler's thread
 * writes; the event loop only signals.
 */
final class ChannelExchange implements Exchange {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** A caller that reads more slowly than this counts as disconnected. */
	private static final long MAX_WRITE_WAIT_MS = 30_000;

	private static final String FAILED = "{\"error\":{\"code\":\"internal\",\"message\":\"The request failed inside the router.\"}}";

	private final Channel channel;

	private final Request request;

	private final boolean http2;

	private final OpenConnections connections;

	private final Runnable finished;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition writable = this.lock.newCondition();

	private volatile boolean disconnected;

	private boolean begun;

	private boolean ended;

	private ChannelFuture sent;

	/** Read by the event loop after {@link #finished} has run. */
	private volatile boolean closing;

	ChannelExchange(Channel channel, Request request, boolean keepAlive, boolean http2, OpenConnections connections,
			Runnable finished) {
		this.channel = channel;
		this.request = request;
		this.closing = !keepAlive;
		this.http2 = http2;
		this.connections = connections;
		this.finished = finished;
	}

	@Override
	public Request request() {
		return this.request;
	}

	@Override
	public void reply(Reply reply) {
		if (this.ended || this.begun) {
			throw new IllegalStateException("the request has already been answered");
		}
		this.ended = true;
		// A response to HEAD has no body; one sent nevertheless would be read as the next
		// response.
		Reply sendable = this.request.method().equals("HEAD") ? new Reply(reply.status(), reply.headers(), new byte[0])
				: reply;
		announceDraining();
		finish(this.channel.writeAndFlush(Responses.full(sendable, this.closing)));
	}

	@Override
	public void begin(int status, List<Map.Entry<String, String>> headers) {
		this.begun = true;
		announceDraining();
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		Responses.add(response.headers(), headers);
		if (!this.http2) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			if (this.closing) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
		}
		this.channel.writeAndFlush(response);
	}

	@Override
	public void write(byte[] piece) {
		awaitWritable();
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(piece)));
	}

	@Override
	public void end(List<Map.Entry<String, String>> trailers) {
		this.ended = true;
		DefaultLastHttpContent last = new DefaultLastHttpContent();
		Responses.add(last.trailingHeaders(), trailers);
		finish(this.channel.writeAndFlush(last));
	}

	@Override
	public void abort() {
		this.ended = true;
		this.disconnected = true;
		this.closing = true;
		// Queued behind the data already written, so that the caller receives all of it
		// first.
		finish(this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
	}

	@Override
	public boolean callerDisconnected() {
		return this.disconnected;
	}

	@Override
	public void awaitSent() {
		if (this.sent != null) {
			this.sent.awaitUninterruptibly(MAX_WRITE_WAIT_MS);
		}
	}

	/**
	 * Returns whether the connection, or the HTTP/2 stream, closes after this response.
	 * @return whether no response may follow
	 */
	boolean closing() {
		return this.closing;
	}

	void markDisconnected() {
		this.disconnected = true;
		signalWritable();
	}

	void signalWritable() {
		this.lock.lock();
		try {
			this.writable.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	void fail(Exception cause) {
		logger.atSevere().withCause(cause).log("request handler failed: path=%s", this.request.path());
		if (this.ended) {
			return;
		}
		if (this.begun) {
			abort();
		}
		else {
			reply(Reply.json(500, FAILED).with("whin-outcome", "unknown"));
		}
	}

	void ensureFinished() {
		if (!this.ended) {
			fail(new IllegalStateException("the request handler returned without answering the request"));
		}
	}

	// The head of a streamed response already sent cannot be changed; the caller learns
	// of the draining from the next response.
	private void announceDraining() {
		if (this.http2) {
			this.connections.sendGoAway(this.channel);
		}
		else {
			this.closing |= this.connections.draining();
		}
	}

	private void finish(ChannelFuture written) {
		this.sent = written;
		if (this.closing) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.finished.run();
	}

	private void awaitWritable() {
		if (this.channel.isWritable()) {
			return;
		}
		this.lock.lock();
		try {
			long remainingNs = TimeUnit.MILLISECONDS.toNanos(MAX_WRITE_WAIT_MS);
			while (!this.channel.isWritable() && !this.disconnected && remainingNs > 0) {
				remainingNs = this.writable.awaitNanos(remainingNs);
			}
			if (remainingNs <= 0) {
				this.disconnected = true;
			}
		}
		catch (InterruptedException ex) {
			this.disconnected = true;
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
	}

}
