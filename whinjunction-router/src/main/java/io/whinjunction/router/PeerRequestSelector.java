package io.whinjunction.router;

import java.util.function.Supplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Selects by the first request of a peer's connection who serves all its requests: relays
 * and reads of the configuration use separate connections. Confined to the event loop.
 */
final class PeerRequestSelector extends ChannelInboundHandlerAdapter {

	private final ChannelInboundHandler documents;

	private final Supplier<CallerConnection> relays;

	/**
	 * Creates the handler of a new connection.
	 * @param documents serves the configuration
	 * @param relays creates the handler of relayed requests
	 */
	PeerRequestSelector(ChannelInboundHandler documents, Supplier<CallerConnection> relays) {
		this.documents = documents;
		this.relays = relays;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		boolean relayed = message instanceof HttpRequest request && request.headers().contains(RelayHeaders.ORIGIN);
		ChannelInboundHandler selected = relayed ? this.relays.get() : this.documents;
		context.pipeline().addAfter(context.name(), "requests", selected);
		selected.channelActive(context.pipeline().context("requests"));
		context.fireChannelRead(message);
		context.pipeline().remove(this);
	}

}
