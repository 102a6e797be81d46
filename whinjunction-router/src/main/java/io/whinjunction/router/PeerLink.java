package io.whinjunction.router;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.whinjunction.store.StoreVersion;

/**
 * Queries the status of a few peers each period by datagrams, and answers their queries.
 * A lost datagram is compensated by the next one. Confined to the event loop.
 */
final class PeerLink {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The interval between status queries, in milliseconds: several fit into the time for
	 * which a suspicion lasts.
	 */
	static final long PERIOD_MS = 250;

	/** Peers queried each period; the load of a router does not grow with the fleet. */
	static final int FANOUT = 3;

	/**
	 * The largest message, in bytes. The channel truncates longer ones, which can't be
	 * decoded. A message names at most {@link RecentChanges#MAX_PER_ANSWER} upstreams.
	 */
	static final int MAX_DATAGRAM_BYTES = 16_384;

	/** Bounds the memory that announced addresses can take up. */
	private static final int MAX_ADDRESSES = 4096;

	/** Peers to which an urgent status is sent at once. */
	private static final int URGENT_FANOUT = 12;

	private final EventLoop loop;

	private final PeerTable table;

	private final Handler handler;

	private final RouterContext router;

	private final PeerCodec codec = new PeerCodec();

	/** Parsed addresses of the peers. */
	private final Map<String, InetSocketAddress> addresses = new HashMap<>();

	/** The socket of the channel, which is read through the channel. */
	private DatagramChannel socket;

	private Channel channel;

	/**
	 * Creates a link that is not started yet.
	 * @param router the clocks
	 * @param table chooses the peers to query
	 * @param handler builds this router's messages and processes those of peers
	 */
	PeerLink(RouterContext router, PeerTable table, Handler handler) {
		this.router = router;
		this.loop = router.loop();
		this.table = table;
		this.handler = handler;
	}

	/**
	 * Starts to listen and to query peers.
	 * @param address the address to listen on
	 * @return the channel, which the caller closes
	 */
	Channel start(InetSocketAddress address) {
		this.socket = openSocket();
		this.channel = new Bootstrap().group(this.loop)
			.channelFactory(() -> new NioDatagramChannel(this.socket))
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(1))
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {

				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					receive(packet);
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
					// A datagram to a port without a listener is reported as an error.
					// The table detects the silent peer.
					logger.atFine().withCause(cause).log("event=datagram-failed");
				}

			})
			.bind(address)
			.channel();
		this.loop.scheduleAtFixedRate(this::queryActive, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
		return this.channel;
	}

	private static DatagramChannel openSocket() {
		try {
			return DatagramChannel.open(StandardProtocolFamily.INET);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Sends the status to many peers at once, since it contains an urgent change. */
	void sendStatusNow() {
		query(this.table.targets(URGENT_FANOUT, this.router.nowMs()));
	}

	/**
	 * Queries many peers from which no status was received lately.
	 * @return the number of peers queried
	 */
	int querySilentPeers() {
		List<String> targets = this.table.silent(URGENT_FANOUT, this.router.nowMs());
		query(targets);
		return targets.size();
	}

	/**
	 * Queries the status of one peer.
	 * @param address the address at which it receives messages
	 */
	void query(String address) {
		query(List.of(address));
	}

	/** Queries the status of a few peers. */
	void queryActive() {
		query(this.table.targets(FANOUT, this.router.nowMs()));
	}

	private void query(List<String> targets) {
		if (targets.isEmpty()) {
			return;
		}
		List<byte[]> messages = messages(this.table.startQuery(this.router.bootMs()), false);
		for (String target : targets) {
			InetSocketAddress address = address(target);
			messages.forEach((message) -> send(message, address));
		}
	}

	private InetSocketAddress address(String target) {
		if (this.addresses.size() > MAX_ADDRESSES) {
			this.addresses.clear();
		}
		return this.addresses.computeIfAbsent(target, Addresses::parse);
	}

	private void answer(long sequence, InetSocketAddress sender) {
		messages(sequence, true).forEach((message) -> send(message, sender));
	}

	private List<byte[]> messages(long sequence, boolean answer) {
		List<byte[]> messages = new ArrayList<>();
		messages.add(this.codec.encode(this.handler.status(sequence, answer)));
		this.handler.pendingReports().forEach((report) -> messages.add(this.codec.encode(report)));
		return messages;
	}

	/**
	 * Requests the changes of the list of upstreams from a peer.
	 * @param address the address at which the peer receives messages
	 * @param after the version that this router has
	 */
	void requestChanges(String address, StoreVersion after) {
		send(this.codec.encode(new PeerMessage.ChangesQuestion(after)), Addresses.parse(address));
	}

	/**
	 * Requests a retry from a peer.
	 * @param address the address at which the peer receives messages
	 * @param question the question
	 */
	void requestRetry(String address, PeerMessage.RetryQuestion question) {
		send(this.codec.encode(question), Addresses.parse(address));
	}

	private void receive(DatagramPacket packet) {
		Optional<PeerMessage> message = this.codec.decode(ByteBufUtil.getBytes(packet.content()));
		if (message.isEmpty()) {
			logger.atWarning().log("event=datagram-unreadable from=%s", packet.sender());
			return;
		}
		switch (message.get()) {
			case PeerStatus status -> {
				this.handler.onStatus(status);
				if (!status.answer()) {
					answer(status.sequence(), packet.sender());
				}
			}
			case PeerMessage.ChangesQuestion question ->
				send(this.codec.encode(new PeerMessage.ChangesAnswer(this.handler.changesAfter(question.after()))),
						packet.sender());
			case PeerMessage.ChangesAnswer answer -> this.handler.onChanges(answer.changes());
			case PeerMessage.CrashReports reports -> this.handler.onCrashReports(reports);
			case PeerMessage.Limits limits -> this.handler.onLimits(limits);
			case PeerMessage.RetryQuestion question ->
				send(this.codec.encode(new PeerMessage.RetryAnswer(question.number(), question.service(),
						this.handler.lendsRetry(question))), packet.sender());
			case PeerMessage.RetryAnswer answer -> this.handler.onRetryAnswer(answer);
		}
	}

	// Bypasses the pipeline, whose many methods cost more than the call itself. A
	// datagram
	// that the socket does not take is lost like any other. A socket that is not bound
	// yet
	// would bind to another port.
	private void send(byte[] bytes, InetSocketAddress target) {
		if (!this.channel.isActive()) {
			return;
		}
		try {
			this.socket.send(ByteBuffer.wrap(bytes), target);
		}
		catch (IOException ex) {
			logger.atFine().withCause(ex).log("event=datagram-failed");
		}
	}

	/** Builds this router's messages and processes those of peers. */
	interface Handler {

		/**
		 * Builds this router's status.
		 * @param sequence the number of the query
		 * @param answer whether the status answers a query
		 * @return the status
		 */
		PeerStatus status(long sequence, boolean answer);

		/**
		 * Processes the status of a peer.
		 * @param status the status that was received
		 */
		void onStatus(PeerStatus status);

		/**
		 * Returns the changes of the list of upstreams.
		 * @param after the version that the requesting peer has
		 * @return the changes, where this router has them
		 */
		UpstreamChanges changesAfter(StoreVersion after);

		/**
		 * Processes changes of the list of upstreams that a peer sent.
		 * @param changes the changes
		 */
		void onChanges(UpstreamChanges changes);

		/**
		 * Returns reports that are seldom needed; each is sent as a message of its own.
		 * @return the messages; nearly always none
		 */
		List<PeerMessage> pendingReports();

		/**
		 * Processes a peer's reports of requests during which upstreams crashed.
		 * @param reports the reports
		 */
		void onCrashReports(PeerMessage.CrashReports reports);

		/**
		 * Processes request limits of upstreams that a peer reports.
		 * @param limits the limits
		 */
		void onLimits(PeerMessage.Limits limits);

		/**
		 * Lends a retry to a peer if this router's share allows it.
		 * @param question the question of the peer
		 * @return whether it is lent
		 */
		boolean lendsRetry(PeerMessage.RetryQuestion question);

		/**
		 * Processes the answer of a peer that was asked for a retry.
		 * @param answer the answer
		 */
		void onRetryAnswer(PeerMessage.RetryAnswer answer);

	}

}
