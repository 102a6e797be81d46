package io.whinjunction.http.server;

import java.util.List;
import java.util.Map;

/**
 * One request and the way to answer it. Methods may be called from one thread at a time,
 * {@link #gone()} from any.
 */
public interface Exchange {

	/**
	 * The request.
	 * @return the request
	 */
	Request request();

	/**
	 * Answers whole.
	 * @param reply the answer
	 */
	void reply(Reply reply);

	/**
	 * Begins a streamed answer.
	 * @param status the status
	 * @param headers the headers
	 */
	void begin(int status, List<Map.Entry<String, String>> headers);

	/**
	 * Sends a piece of a streamed answer; waits while the reader is slow.
	 * @param piece the bytes
	 */
	void write(byte[] piece);

	/**
	 * Ends a streamed answer properly.
	 * @param trailers trailing headers
	 */
	void end(List<Map.Entry<String, String>> trailers);

	/**
	 * Breaks a streamed answer off, so that the reader sees that it is incomplete.
	 */
	void abort();

	/**
	 * Waits until the ended answer has left the process, or its reader counts as gone.
	 */
	void awaitSent();

	/**
	 * Whether the caller has gone.
	 * @return {@code true} once nobody reads any more
	 */
	boolean gone();

}
