package io.whinjunction.http.server;

import java.util.List;
import java.util.Map;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Converts replies to Netty messages. Stateless.
 */
final class Responses {

	private Responses() {
	}

	static FullHttpResponse full(Reply reply, boolean close) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
		add(response.headers(), reply.headers());
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
		if (close) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		return response;
	}

	static void add(HttpHeaders into, List<Map.Entry<String, String>> headers) {
		for (Map.Entry<String, String> header : headers) {
			into.add(header.getKey(), header.getValue());
		}
	}

}
