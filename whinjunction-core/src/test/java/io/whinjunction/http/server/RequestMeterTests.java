package io.whinjunction.http.server;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.whinjunction.memory.MemoryBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link RequestMeter}. */
class RequestMeterTests {

	private static final int BODY_BYTES = 40_000;

	private final MemoryBudget budget = new MemoryBudget(5 * BODY_BYTES, (state, bytes, used, limit) -> {
	});

	private final List<EmbeddedChannel> channels = new ArrayList<>();

	@AfterEach
	void close() {
		this.channels.forEach(EmbeddedChannel::finishAndReleaseAll);
	}

	// Guards against bodies that stop short of their end and together fill the memory.
	@Test
	void theLargestIncompleteBodyIsRefusedWhenCallersHoldTooMuch() {
		Caller ordinary = connect();
		ordinary.send(1000);
		Caller largest = connect();
		largest.send(BODY_BYTES);
		Caller other = connect();
		other.send(BODY_BYTES - 1000);

		assertThat(largest.refusals()).isOne();
		assertThat(ordinary.refusals() + other.refusals()).isZero();
		assertThat(this.budget.usedBytes()).isLessThan(3L * BODY_BYTES);
	}

	// Guards against a refusal of a request that its handler has begun.
	@Test
	void aCompleteRequestIsNotRefusedAnyMore() {
		Caller complete = connect();
		complete.send(BODY_BYTES);
		complete.end();
		Caller next = connect();
		next.send(BODY_BYTES);

		assertThat(complete.refusals()).isZero();
		assertThat(next.refusals()).isOne();
	}

	@Test
	void whatAClosedConnectionHeldIsGivenBack() {
		Caller caller = connect();
		caller.send(BODY_BYTES);
		caller.channel.close();

		assertThat(this.budget.usedBytes()).isZero();
	}

	private Caller connect() {
		Caller caller = new Caller(new RequestMeter(this.budget));
		this.channels.add(caller.channel);
		return caller;
	}

	private static final class Caller {

		private final List<Object> events = new ArrayList<>();

		private final EmbeddedChannel channel;

		Caller(RequestMeter meter) {
			this.channel = new EmbeddedChannel(meter, new ChannelInboundHandlerAdapter() {

				@Override
				public void userEventTriggered(ChannelHandlerContext context, Object event) {
					Caller.this.events.add(event);
				}

			});
			HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
			this.channel.writeInbound(head);
		}

		void send(int bytes) {
			this.channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
		}

		void end() {
			this.channel.writeInbound(new DefaultLastHttpContent());
		}

		long refusals() {
			return this.events.stream()
				.filter((event) -> event instanceof ClosingReply closing && closing.reply().status() == 503)
				.count();
		}

	}

}
