package io.whinjunction.http.server;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Detects HTTP/2 with prior knowledge or HTTP/1.1 from the first bytes of a connection.
 * One per connection.
 */
final class ProtocolDetector extends ByteToMessageDecoder {

	/**
	 * The connection preface of HTTP/2 starts with a method that does not exist in
	 * HTTP/1.1.
	 */
	private static final byte[] PREFACE = { 'P', 'R', 'I', ' ' };

	private final ConnectionInitializer initializer;

	private final ServerConnection connection;

	ProtocolDetector(ConnectionInitializer initializer, ServerConnection connection) {
		this.initializer = initializer;
		this.connection = connection;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
		for (int i = 0; i < PREFACE.length; i++) {
			if (in.readableBytes() <= i) {
				return;
			}
			if (in.getByte(in.readerIndex() + i) != PREFACE[i]) {
				this.initializer.addHttp1(context.pipeline(), this.connection);
				context.pipeline().remove(this);
				return;
			}
		}
		this.initializer.addHttp2(context.pipeline(), this.connection);
		context.pipeline().remove(this);
	}

}
