package io.whinjunction.router;

import java.lang.reflect.Proxy;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
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
 * Tests messages between routers on real sockets.
 */
class PeerLinkTests {

	private static final String SERVICE = "a-service";

	private final BlockingQueue<PeerMessage.RetryAnswer> retryAnswers = new LinkedBlockingQueue<>();

	private final EventLoopGroup group = new NioEventLoopGroup(1);

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
	}

	// Guards against an answer that is longer than what the channel reads of a datagram:
	// it would be truncated and could not be decoded, so that routers that do not watch
	// the store would never receive the changes when many upstreams change between two
	// watches.
	@Test
	void anAnswerWithTheMaximumNumberOfChangesIsReadCompletely() throws Exception {
		UpstreamChanges changes = new UpstreamChanges(Versions.v(3),
				IntStream.range(0, RecentChanges.MAX_PER_ANSWER)
					.mapToObj((index) -> new Upstream("an-engine-with-a-long-name-" + index, 1_900_000_000_000L,
							"a-service-with-a-long-name", "10.200.200.200:65535", "a-failure-domain-with-a-long-name",
							134, "a-kind-of-accelerator", new LayerRange(40, 80), false))
					.toList(),
				List.of(), Versions.v(9));
		CompletableFuture<UpstreamChanges> received = new CompletableFuture<>();
		InetSocketAddress answering = freeAddress();
		Channel first = bound(link(answering, changes, new CompletableFuture<>()).start(answering));
		InetSocketAddress requesting = freeAddress();
		PeerLink link = link(requesting, changes, received);
		Channel second = bound(link.start(requesting));

		link.requestChanges(answering.getAddress().getHostAddress() + ":" + answering.getPort(), Versions.v(3));

		assertThat(received.get(5, TimeUnit.SECONDS)).isEqualTo(changes);
		first.close().sync();
		second.close().sync();
	}

	// Guards against an answer to another question: its number and service must return
	// as they were sent.
	@Test
	void theAnswerOfALenderRepeatsTheNumberAndTheServiceOfTheQuestion() throws Exception {
		InetSocketAddress answering = freeAddress();
		Channel first = bound(link(answering, null, new CompletableFuture<>()).start(answering));
		InetSocketAddress requesting = freeAddress();
		PeerLink link = link(requesting, null, new CompletableFuture<>());
		Channel second = bound(link.start(requesting));
		String address = answering.getAddress().getHostAddress() + ":" + answering.getPort();

		link.requestRetry(address, new PeerMessage.RetryQuestion(Long.MIN_VALUE, SERVICE, 88));
		link.requestRetry(address, new PeerMessage.RetryQuestion(7, "another-service", 88));

		assertThat(this.retryAnswers.poll(5, TimeUnit.SECONDS))
			.isEqualTo(new PeerMessage.RetryAnswer(Long.MIN_VALUE, SERVICE, true));
		assertThat(this.retryAnswers.poll(5, TimeUnit.SECONDS))
			.isEqualTo(new PeerMessage.RetryAnswer(7, "another-service", false));
		first.close().sync();
		second.close().sync();
	}

	// Guards against a message without a service, which would be a question about none.
	@Test
	void aQuestionWithoutAServiceIsIgnored() {
		PeerCodec codec = new PeerCodec();
		byte[] whole = codec.encode(new PeerMessage.RetryQuestion(7, SERVICE, 88));

		assertThat(codec.decode(whole)).contains(new PeerMessage.RetryQuestion(7, SERVICE, 88));
		assertThat(codec.decode(Arrays.copyOf(whole, whole.length - SERVICE.length()))).isEmpty();
	}

	private PeerLink link(InetSocketAddress own, UpstreamChanges changes, CompletableFuture<UpstreamChanges> received) {
		EventLoop loop = this.group.next();
		RouterContext context = (RouterContext) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { RouterContext.class },
				(proxy, method, args) -> method.getName().equals("loop") ? loop : (Object) 0L);
		return new PeerLink(context, new PeerTable(own.toString(), new Random(1)), new PeerLink.Handler() {

			@Override
			public PeerStatus status(long sequence, boolean answer) {
				throw new IllegalStateException("unexpected status query: no peer is known");
			}

			@Override
			public void onStatus(PeerStatus status) {
			}

			@Override
			public UpstreamChanges changesAfter(StoreVersion after) {
				return changes;
			}

			@Override
			public void onChanges(UpstreamChanges answer) {
				received.complete(answer);
			}

			@Override
			public List<PeerMessage> pendingReports() {
				return List.of();
			}

			@Override
			public void onCrashReports(PeerMessage.CrashReports reports) {
			}

			@Override
			public void onLimits(PeerMessage.Limits limits) {
			}

			@Override
			public boolean lendsRetry(PeerMessage.RetryQuestion question) {
				return question.service().equals(SERVICE) && question.routers() == 88;
			}

			@Override
			public void onRetryAnswer(PeerMessage.RetryAnswer answer) {
				PeerLinkTests.this.retryAnswers.add(answer);
			}

		});
	}

	// A link binds on its event loop; a request that is sent earlier finds no listener.
	private static Channel bound(Channel channel) throws InterruptedException {
		for (int attempt = 0; attempt < 500 && !channel.isActive(); attempt++) {
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
