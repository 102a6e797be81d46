package io.whinjunction.router;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.whinjunction.http.ResponseHeadValidator;

/**
 * A connection to an upstream, which carries one request at a time.
 * <p>
 * Guards against surplus and late responses: an upstream that sends more than the
 * expected answer, the rest of which would be read as the answer to the next request, or
 * a late answer to an earlier request that arrives where the next one is expected. Bytes
 * on an idle connection close it. An answer that carries the id of another request is
 * skipped, since the current request gets its own after it.
 * <p>
 * Invariants: a listener is called only for answers to its own request; a connection
 * returns to the pool only after the complete request was written and the complete answer
 * read. Confined to the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_HEADER_BYTES = 32_768;

	/**
	 * Interim responses, and answers to other requests, that are skipped before the
	 * answer; an upstream that sends more is at fault.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 16;

	/**
	 * Looks for a reset after the end of an answer that ends with its connection, which
	 * follows right after that end. The last look sees what the first ones of other
	 * answers found.
	 */
	private static final int RESET_LOOKS = 2;

	/** The time between them, in milliseconds. */
	private static final long RESET_LOOK_INTERVAL_MS = 5;

	/** Their bodies together, in bytes. */
	private static final long MAX_SKIPPED_BYTES = 1 << 20;

	private final UpstreamPool pool;

	private final Upstream upstream;

	private final Dialect dialect;

	private final UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(
			new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxInitialLineLength(MAX_HEADER_BYTES),
			this::onKept);

	private final Consumer<ByteBuf> chunks = this::readChunk;

	private final ChannelFutureListener written = this::onWritten;

	private Channel channel;

	private UpstreamListener listener;

	private String requestId;

	private boolean requestWritten;

	private boolean skipping;

	/** Responses skipped since the request was written, interim ones included. */
	private int skippedResponses;

	private long skippedBytes;

	/** Whether the connection is being read. */
	private boolean reading;

	private boolean headRead;

	private boolean framed;

	private boolean bodyless;

	private boolean keepAlive;

	private boolean failed;

	private long keepAliveMs = -1;

	private long idleSinceMs;

	UpstreamConnection(UpstreamPool pool, Upstream upstream, Dialect dialect) {
		this.pool = pool;
		this.upstream = upstream;
		this.dialect = dialect;
	}

	Upstream upstream() {
		return this.upstream;
	}

	UpstreamResponseDecoder decoder() {
		return this.decoder;
	}

	Channel channel() {
		return this.channel;
	}

	void attach(Channel channel) {
		this.channel = channel;
	}

	boolean usable(long nowMs, long maxIdleMs) {
		long limitMs = (this.keepAliveMs >= 0) ? Math.min(maxIdleMs, this.keepAliveMs / 2) : maxIdleMs;
		return this.channel.isActive() && nowMs - this.idleSinceMs < limitMs;
	}

	/**
	 * Looks whether the idle connection can carry a request: the upstream may have closed
	 * it, or sent what belongs to no request, and this late event loop has not read it.
	 * @return {@code false} if it is closed now
	 */
	boolean quiet() {
		return this.reading ? this.channel.isActive() : SocketLook.open(this.channel);
	}

	void idleSince(long nowMs) {
		this.idleSinceMs = nowMs;
	}

	/**
	 * Takes the connection for one request.
	 * @param id the id of the request
	 * @param bodyless whether its method rules out a body of the answer
	 * @param listener called with its answer
	 */
	void begin(String id, boolean bodyless, UpstreamListener listener) {
		this.decoder.expect(bodyless);
		this.requestId = id;
		this.listener = listener;
		this.requestWritten = false;
		this.skipping = false;
		this.skippedResponses = 0;
		this.skippedBytes = 0;
		this.headRead = false;
		this.keepAlive = false;
		this.channel.config().setAutoRead(true);
	}

	/**
	 * Writes a part of the request.
	 * @param message the part, whose ownership passes on
	 */
	void write(Object message) {
		this.channel.writeAndFlush(message).addListener(this.written);
	}

	// The library closes a connection to which it can't write, which would look like the
	// orderly end of an answer without a length.
	private void onWritten(Future<?> writing) {
		if (writing.isSuccess()) {
			return;
		}
		this.requestWritten = false;
		if (!(writing.cause() instanceof ClosedChannelException)) {
			fail("the request could not be written: " + writing.cause().getMessage(), true);
		}
	}

	/** Records that the last byte of the request was written. */
	void requestWritten() {
		this.requestWritten = true;
	}

	/**
	 * Abandons the request: the connection is closed at once to signal the upstream to
	 * stop. Before the head of the answer it is reset, as the upstream may not have taken
	 * all of the request yet, and the kernel would deliver the rest after an orderly
	 * close.
	 */
	void abandon() {
		this.listener = null;
		if (!this.headRead && this.channel.isOpen()) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.reading = true;
		try {
			if (message instanceof HttpObject object) {
				read(object);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(HttpObject object) {
		Optional<String> problem = ResponseHeadValidator.problem(object, this.dialect.singleResponseHeaders());
		if (problem.isPresent()) {
			onInvalid(problem.get());
			return;
		}
		// The end of a body may be derived from the end of the connection.
		if (object instanceof HttpResponse || object instanceof HttpContent content && content.content().isReadable()) {
			this.pool.heard(this.upstream);
		}
		UpstreamHead head = (object instanceof HttpResponse response) ? decodeHead(response) : null;
		if (this.listener == null) {
			closeOnSurplus();
			return;
		}
		if (object instanceof HttpResponse response) {
			readHead(response, head);
		}
		if (object instanceof HttpContent content) {
			readContent(content);
		}
	}

	private void onKept(long bytes) {
		if (this.listener != null) {
			this.listener.onKept(bytes);
		}
	}

	private void onInvalid(String problem) {
		if (this.listener != null) {
			logger.atWarning()
				.log("event=invalid-response request=%s upstream=%s reason=\"%s\"", this.requestId, this.upstream.id(),
						problem);
		}
		fail("invalid response: " + problem, false);
	}

	private void closeOnSurplus() {
		if (!this.channel.isOpen()) {
			return;
		}
		logger.atWarning().log("event=surplus upstream=%s address=%s", this.upstream.id(), this.upstream.address());
		this.channel.close();
	}

	// Data of the answer's body, which the decoder does not wrap into HTTP objects.
	private void readChunk(ByteBuf content) {
		this.reading = true;
		this.pool.heard(this.upstream);
		if (this.listener == null) {
			closeOnSurplus();
			return;
		}
		this.listener.onContent(content);
	}

	// Returns null for an interim response, which precedes the answer.
	private UpstreamHead decodeHead(HttpResponse response) {
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return null;
		}
		UpstreamHead head = this.dialect.upstreamHead(response);
		this.pool.answered(this.upstream, head);
		return head;
	}

	private void readHead(HttpResponse response, UpstreamHead head) {
		if (head == null) {
			skip();
			return;
		}
		this.framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
		if (!this.requestId.equals(head.requestId())) {
			logger.atWarning()
				.log("event=foreign-answer request=%s answers=%s upstream=%s", this.requestId, head.requestId(),
						this.upstream.id());
			if (this.framed || this.decoder.endsWithHead(response)) {
				skip();
			}
			else {
				onInvalid("the answer to another request, which ends with the connection");
			}
			return;
		}
		this.skipping = false;
		this.headRead = true;
		this.bodyless = this.decoder.endsWithHead(response);
		// The socket stays open after its end was read, to see a reset that follows.
		this.channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, !this.framed);
		this.keepAlive = HttpUtil.isKeepAlive(response) && this.framed;
		this.keepAliveMs = head.keepAliveMs();
		this.decoder.passChunks(response, this.chunks);
		this.listener.onHead(head, response);
	}

	private void skip() {
		this.skipping = true;
		if (++this.skippedResponses > MAX_SKIPPED_RESPONSES) {
			fail("more than " + MAX_SKIPPED_RESPONSES + " responses that answer no request", false);
		}
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skipping || !this.headRead) {
			this.skippedBytes += content.content().readableBytes();
			if (this.skippedBytes > MAX_SKIPPED_BYTES) {
				fail("more than " + MAX_SKIPPED_BYTES + " bytes that answer no request", false);
				return;
			}
			this.skipping = this.skipping && !last;
			return;
		}
		if (this.listener != null && content.content().isReadable()) {
			this.listener.onContent(content.content());
		}
		if (last && !this.failed) {
			if (this.framed || this.bodyless) {
				end();
			}
			else {
				awaitReset(RESET_LOOKS);
			}
		}
	}

	private void awaitReset(int looks) {
		this.channel.eventLoop().schedule(() -> endUnlessReset(looks), RESET_LOOK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	// An upstream that closes its connection with a part of the request unread resets it,
	// maybe after an orderly end. One that crashes ends all its connections at once: in
	// order those whose request it has read.
	private void endUnlessReset(int looks) {
		if (this.listener == null) {
			return;
		}
		if (!this.requestWritten) {
			fail("the connection ended before the request was written", true);
		}
		else if (((UpstreamSocket) this.channel).wasReset()) {
			this.pool.brokeOff(this.upstream);
			fail("connection reset after the end of the answer", true);
		}
		else if (this.pool.brokeOffWithin(this.upstream, (RESET_LOOKS + 1) * RESET_LOOK_INTERVAL_MS)) {
			fail("the upstream broke off another answer as this one ended", true);
		}
		else if (looks > 1) {
			awaitReset(looks - 1);
		}
		else {
			end();
		}
	}

	private void end() {
		UpstreamListener ended = this.listener;
		this.listener = null;
		boolean clean = this.decoder.ended();
		// An answer may arrive before the complete request was read; the rest of the body
		// would then be taken for the next request.
		if (!clean) {
			closeOnSurplus();
		}
		else if (this.keepAlive && this.requestWritten && this.channel.isActive()) {
			this.pool.release(this);
		}
		else {
			this.channel.close();
		}
		if (ended != null) {
			ended.onEnd(!this.framed);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == UpstreamResponseDecoder.Surplus.RECEIVED) {
			closeOnSurplus();
		}
		else {
			context.fireUserEventTriggered(event);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		this.reading = false;
		if (this.listener != null) {
			this.listener.onReadComplete();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.listener != null) {
			this.listener.onWritable(context.channel().isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// A reset also ends a body without a length, which must not look complete.
		this.failed = true;
		if (this.listener != null && this.headRead && cause instanceof IOException) {
			this.pool.brokeOff(this.upstream);
		}
		fail("connection failed: " + cause.getMessage(), cause instanceof IOException);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.failed = true;
		this.pool.remove(this);
		fail(this.headRead ? "connection ended within the answer" : "connection ended without an answer", true);
	}

	private void fail(String reason, boolean connectionEnded) {
		this.failed = true;
		UpstreamListener broken = this.listener;
		this.listener = null;
		this.channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
		if (broken != null) {
			broken.onBroken(reason, connectionEnded);
		}
	}

}
