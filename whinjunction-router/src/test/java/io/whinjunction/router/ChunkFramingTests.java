package io.whinjunction.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers in pieces that a caller reads otherwise than they were written.
 */
class ChunkFramingTests {

	@Property(seed = "41", tries = 200)
	void aPieceIsReadAsItWasWritten(@ForAll @Size(min = 1, max = ChunkFraming.MOST_BYTES) byte[] piece) {
		EmbeddedChannel server = new EmbeddedChannel(new HttpResponseEncoder());
		EmbeddedChannel client = new EmbeddedChannel(new HttpClientCodec());
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		server.writeOutbound(head);
		ByteBuf content = Unpooled.copiedBuffer(piece);
		server.pipeline()
			.context(HttpResponseEncoder.class)
			.writeAndFlush(ChunkFraming.frame(UnpooledByteBufAllocator.DEFAULT, content));
		server.writeOutbound(LastHttpContent.EMPTY_LAST_CONTENT);
		for (Object written = server.readOutbound(); written != null; written = server.readOutbound()) {
			client.writeInbound(written);
		}
		assertThat(content.refCnt()).isZero();
		assertThat(client.<Object>readInbound()).isInstanceOf(HttpResponse.class);
		ByteBuf read = Unpooled.buffer();
		boolean ended = false;
		for (Object message = client.readInbound(); message != null; message = client.readInbound()) {
			HttpContent part = (HttpContent) message;
			assertThat(part.decoderResult().isSuccess()).isTrue();
			read.writeBytes(part.content());
			ended = message instanceof LastHttpContent;
			part.release();
		}
		server.finishAndReleaseAll();
		client.finishAndReleaseAll();
		assertThat(read).isEqualTo(Unpooled.wrappedBuffer(piece));
		assertThat(ended).isTrue();
	}

	@Test
	void anEmptyPieceIsNotFramedSinceItWouldEndTheAnswer() {
		assertThat(ChunkFraming.takes(Unpooled.EMPTY_BUFFER)).isFalse();
		assertThat(ChunkFraming.takes(Unpooled.buffer().writeZero(ChunkFraming.MOST_BYTES + 1))).isFalse();
	}

}
