package io.whinjunction.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes what comes back for one request on an upstream's connection. All calls are on the
 * event loop; after {@link #onEnd()} or {@link #onBroken} there are none.
 */
interface UpstreamListener {

	/**
	 * The response's head came.
	 * @param head its content
	 * @param response the head itself
	 */
	void onHead(UpstreamHead head, HttpResponse response);

	/**
	 * A piece of the body came.
	 * @param content the bytes; owned by the caller of this method
	 */
	void onContent(ByteBuf content);

	/** All that could be read at once was handed over. */
	void onReadComplete();

	/** The whole response came. */
	void onEnd();

	/**
	 * No whole response will come.
	 * @param reason why
	 * @param connectionEnded whether the connection ended, and not this process ended it
	 * for what came on it
	 */
	void onBroken(String reason, boolean connectionEnded);

	/**
	 * The connection takes more of the request's body, or doesn't.
	 * @param writable whether it does
	 */
	void onWritable(boolean writable);

}
