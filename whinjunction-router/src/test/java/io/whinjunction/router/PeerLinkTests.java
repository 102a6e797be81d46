package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.whinjunction.configuration.LayerRange;
import io.whinjunction.store.StoreVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Messages between routers on real sockets.
 */
class PeerLinkTests {

	private final EventLoopGroup group = new NioEventLoopGroup(1);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
	}

	// Many upstreams change between two watches, and the routers that don't wait at the
	// store never hear of it: the answer is longer than what the channel reads of a
	// datagram, and a part of it can't be read.
	@Test
	void anAnswerWithAsManyChangesAsAreToldIsReadWhole() throws Exception {
		UpstreamChanges changes = new UpstreamChanges(Versions.v(3),
				IntStream.range(0, RecentChanges.MAX_PER_ANSWER)
					.mapToObj((index) -> new Upstream("an-engine-with-a-long-name-" + index, 1_900_000_000_000L,
							"a-service-with-a-long-name", "10.200.200.200:65535", "a-failure-domain-with-a-long-name",
							134, "a-kind-of-accelerator", new LayerRange(40, 80), false))
					.toList(),
				List.of(), Versions.v(9));
		CompletableFuture<UpstreamChanges> told = new CompletableFuture<>();
		InetSocketAddress answering = freeAddress();
		Channel first = bound(link(answering, changes, new CompletableFuture<>()).start(answering));
		InetSocketAddress asking = freeAddress();
		PeerLink link = link(asking, changes, told);
		Channel second = bound(link.start(asking));

		link.askForChanges(answering.getAddress().getHostAddress() + ":" + answering.getPort(), Versions.v(3));

		assertThat(told.get(5, TimeUnit.SECONDS)).isEqualTo(changes);
		first.close().sync();
		second.close().sync();
	}

	private PeerLink link(InetSocketAddress own, UpstreamChanges changes, CompletableFuture<UpstreamChanges> told) {
		EventLoop loop = this.group.next();
		RouterContext context = (RouterContext) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { RouterContext.class },
				(proxy, method, args) -> method.getName().equals("loop") ? loop : (Object) 0L);
		return new PeerLink(context, new PeerTable(own.toString(), new Random(1)), new PeerLink.Handler() {

			@Override
			public PeerStatus status(long sequence, boolean answer) {
				throw new IllegalStateException("nobody is there to be asked");
			}

			@Override
			public void heard(PeerStatus status) {
			}

			@Override
			public UpstreamChanges changesAfter(StoreVersion after) {
				return changes;
			}

			@Override
			public void told(UpstreamChanges answer) {
				told.complete(answer);
			}

			@Override
			public List<PeerMessage> news() {
				return List.of();
			}

			@Override
			public void heard(PeerMessage.CrashReports reports) {
			}

			@Override
			public void heard(PeerMessage.Limits limits) {
			}

		});
	}

	// A link binds on its event loop; a question that is sent before finds nobody.
	private static Channel bound(Channel channel) throws InterruptedException {
		for (int wait = 0; wait < 500 && !channel.isActive(); wait++) {
			Thread.sleep(10);
		}
		assertThat(channel.isActive()).isTrue();
		return channel;
	}

	private static InetSocketAddress freeAddress() throws SocketException {
		try (DatagramSocket socket = new DatagramSocket(0)) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

}
