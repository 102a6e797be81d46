package io.whinjunction.router;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
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
 * Asks other routers by datagrams, a few each period, and answers theirs. A lost one is
 * made good by the next. Confined to the event loop.
 */
final class PeerLink {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The pause between questions, in milliseconds: several in the time of a suspicion.
	 */
	static final long PERIOD_MS = 250;

	/** Routers asked each period; the load of one does not grow with the fleet. */
	static final int FANOUT = 3;

	/**
	 * The largest message, in bytes: what is longer is cut by the channel and can't be
	 * read. A message names {@link RecentChanges#MAX_PER_ANSWER} upstreams at most.
	 */
	private static final int MOST_DATAGRAM_BYTES = 16_384;

	/** Routers told at once of something urgent. */
	private static final int URGENT_FANOUT = 12;

	private final EventLoop loop;

	private final PeerTable table;

	private final Handler handler;

	private final RouterContext router;

	private final PeerCodec codec = new PeerCodec();

	private Channel channel;

	/**
	 * A link.
	 * @param router the clocks
	 * @param table whom to ask
	 * @param handler what this router says, and what it does with what others said
	 */
	PeerLink(RouterContext router, PeerTable table, Handler handler) {
		this.router = router;
		this.loop = router.loop();
		this.table = table;
		this.handler = handler;
	}

	/**
	 * Starts to listen and to ask.
	 * @param address where to listen
	 * @return the channel, which the caller closes
	 */
	Channel start(InetSocketAddress address) {
		this.channel = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_DATAGRAM_BYTES))
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {

				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					take(packet);
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
					// Datagrams to a port that nobody listens on come back as errors; the
					// table notices the silence.
					logger.atFine().withCause(cause).log("event=datagram-failed");
				}

			})
			.bind(address)
			.channel();
		this.loop.scheduleAtFixedRate(this::askSome, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
		return this.channel;
	}

	/** Asks many at once, because what this router has to say can't wait. */
	void tellNow() {
		ask(this.table.targets(URGENT_FANOUT, this.router.nowMs()));
	}

	/**
	 * Asks many routers that weren't heard yet.
	 * @return how many
	 */
	int askUnheard() {
		List<String> targets = this.table.silent(URGENT_FANOUT, this.router.nowMs());
		ask(targets);
		return targets.size();
	}

	private void askSome() {
		ask(this.table.targets(FANOUT, this.router.nowMs()));
	}

	private void ask(List<String> targets) {
		if (targets.isEmpty()) {
			return;
		}
		List<byte[]> messages = new ArrayList<>();
		messages.add(this.codec.encode(this.handler.status(this.table.ask(this.router.bootMs()), false)));
		addNews(messages);
		for (String target : targets) {
			InetSocketAddress address = Addresses.parse(target);
			messages.forEach((message) -> send(message, address));
		}
	}

	private void answer(long sequence, InetSocketAddress asker) {
		List<byte[]> messages = new ArrayList<>();
		messages.add(this.codec.encode(this.handler.status(sequence, true)));
		addNews(messages);
		messages.forEach((message) -> send(message, asker));
	}

	private void addNews(List<byte[]> messages) {
		this.handler.news().forEach((news) -> messages.add(this.codec.encode(news)));
	}

	/**
	 * Asks a router for changes of the list of upstreams.
	 * @param address where it takes messages
	 * @param after the version that this router has
	 */
	void askForChanges(String address, StoreVersion after) {
		send(this.codec.encode(new PeerMessage.ChangesQuestion(after)), Addresses.parse(address));
	}

	private void take(DatagramPacket packet) {
		Optional<PeerMessage> message = this.codec.decode(ByteBufUtil.getBytes(packet.content()));
		if (message.isEmpty()) {
			logger.atWarning().log("event=datagram-unreadable from=%s", packet.sender());
			return;
		}
		switch (message.get()) {
			case PeerStatus status -> {
				this.handler.heard(status);
				if (!status.answer()) {
					answer(status.sequence(), packet.sender());
				}
			}
			case PeerMessage.ChangesQuestion question ->
				send(this.codec.encode(new PeerMessage.ChangesAnswer(this.handler.changesAfter(question.after()))),
						packet.sender());
			case PeerMessage.ChangesAnswer answer -> this.handler.told(answer.changes());
			case PeerMessage.CrashReports reports -> this.handler.heard(reports);
			case PeerMessage.Limits limits -> this.handler.heard(limits);
		}
	}

	private void send(byte[] bytes, InetSocketAddress target) {
		this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target));
	}

	/** What this router says, and what it does with what others said. */
	interface Handler {

		/**
		 * Makes this router's status.
		 * @param sequence the question's number
		 * @param answer whether it answers one
		 * @return the status
		 */
		PeerStatus status(long sequence, boolean answer);

		/**
		 * Takes what another router said of itself.
		 * @param status what it said
		 */
		void heard(PeerStatus status);

		/**
		 * What changed in the list of upstreams.
		 * @param after the version that the asking router has
		 * @return the changes, where they are known
		 */
		UpstreamChanges changesAfter(StoreVersion after);

		/**
		 * Takes what another router says has changed.
		 * @param changes the changes
		 */
		void told(UpstreamChanges changes);

		/**
		 * What there is seldom anything to tell of; each is a message of its own.
		 * @return the messages; none nearly always
		 */
		List<PeerMessage> news();

		/**
		 * Takes what another router says of requests under which upstreams ended.
		 * @param reports what it knows
		 */
		void heard(PeerMessage.CrashReports reports);

		/**
		 * Takes what another router says of limits that upstreams name.
		 * @param limits what it has heard
		 */
		void heard(PeerMessage.Limits limits);

	}

}
