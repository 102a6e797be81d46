package io.whinjunction.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request on an upstream's connection. All calls are on the
 * event loop; there are none after {@link #onEnd} or {@link #onBroken}.
 */
interface UpstreamListener {

	/**
	 * Called with the head of the response.
	 * @param head the decoded head
	 * @param response the head itself
	 */
	void onHead(UpstreamHead head, HttpResponse response);

	/**
	 * Called with a chunk of the body.
	 * @param content the bytes; owned by the caller of this method
	 */
	void onContent(ByteBuf content);

	/**
	 * Called when the connection keeps more or less of a response that is not complete.
	 * @param bytes what is kept, in bytes
	 */
	void onKept(long bytes);

	/** Called when all bytes that were available were handed over. */
	void onReadComplete();

	/**
	 * Called when the response is complete.
	 * @param byConnection whether its end was told by that of the connection alone
	 */
	void onEnd(boolean byConnection);

	/**
	 * Called when the response will not be completed.
	 * @param reason the reason
	 * @param connectionEnded whether the connection ended, as opposed to being closed by
	 * this process because of invalid content
	 */
	void onBroken(String reason, boolean connectionEnded);

	/**
	 * Called when the writability of the connection changes.
	 * @param writable whether it accepts more of the request's body
	 */
	void onWritable(boolean writable);

}
