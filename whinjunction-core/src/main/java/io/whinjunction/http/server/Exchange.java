package io.whinjunction.http.server;

import java.util.List;
import java.util.Map;

/**
 * One request and the means to respond to it. Confined to one thread at a time, except
 * {@link #callerDisconnected()}, which is thread-safe.
 */
public interface Exchange {

	/**
	 * Returns the request.
	 * @return the request
	 */
	Request request();

	/**
	 * Sends a complete response.
	 * @param reply the response
	 */
	void reply(Reply reply);

	/**
	 * Starts a streamed response.
	 * @param status the status
	 * @param headers the headers
	 */
	void begin(int status, List<Map.Entry<String, String>> headers);

	/**
	 * Sends a chunk of a streamed response; blocks while the caller reads slowly.
	 * @param piece the bytes
	 */
	void write(byte[] piece);

	/**
	 * Completes a streamed response.
	 * @param trailers trailing headers
	 */
	void end(List<Map.Entry<String, String>> trailers);

	/**
	 * Aborts a streamed response, so that the caller detects that it is incomplete.
	 */
	void abort();

	/**
	 * Waits until the completed response has been written to the network, or its caller
	 * counts as disconnected.
	 */
	void awaitSent();

	/**
	 * Returns whether the caller has disconnected.
	 * @return {@code true} once the response is no longer read
	 */
	boolean callerDisconnected();

}
