package io.whinjunction.router;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

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

	/** Routers told at once of something urgent. */
	private static final int URGENT_FANOUT = 12;

	private final EventLoop loop;

	private final PeerTable table;

	private final BiFunction<Long, Boolean, PeerStatus> own;

	private final Consumer<PeerStatus> heard;

	private final RouterContext router;

	private final PeerCodec codec = new PeerCodec();

	private Channel channel;

	/**
	 * A link.
	 * @param router the clocks
	 * @param table whom to ask
	 * @param own makes this router's status, for a question's number and whether it is an
	 * answer
	 * @param heard takes what others said
	 */
	PeerLink(RouterContext router, PeerTable table, BiFunction<Long, Boolean, PeerStatus> own,
			Consumer<PeerStatus> heard) {
		this.router = router;
		this.loop = router.loop();
		this.table = table;
		this.own = own;
		this.heard = heard;
	}

	/**
	 * Starts to listen and to ask.
	 * @param address where to listen
	 * @return the channel, which the caller closes
	 */
	Channel start(InetSocketAddress address) {
		this.channel = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
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

	private void askSome() {
		ask(this.table.targets(FANOUT, this.router.nowMs()));
	}

	private void ask(List<String> targets) {
		if (targets.isEmpty()) {
			return;
		}
		byte[] bytes = this.codec.encode(this.own.apply(this.table.ask(this.router.bootMs()), false));
		for (String target : targets) {
			send(bytes, Addresses.parse(target));
		}
	}

	private void take(DatagramPacket packet) {
		this.codec.decode(ByteBufUtil.getBytes(packet.content())).ifPresentOrElse((status) -> {
			this.heard.accept(status);
			if (!status.answer()) {
				send(this.codec.encode(this.own.apply(status.sequence(), true)), packet.sender());
			}
		}, () -> logger.atWarning().log("event=datagram-unreadable from=%s", packet.sender()));
	}

	private void send(byte[] bytes, InetSocketAddress target) {
		this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target));
	}

}
