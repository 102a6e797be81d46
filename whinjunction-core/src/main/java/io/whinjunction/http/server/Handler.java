package io.whinjunction.http.server;

import java.util.Optional;

/**
 * Handles the requests of a server. Called concurrently, on virtual threads.
 */
@FunctionalInterface
public interface Handler {

	/**
	 * Answers a request by calling exactly one of {@link Exchange#reply},
	 * {@link Exchange#end} or {@link Exchange#abort}.
	 * @param exchange the request and its response
	 * @throws Exception if the request fails; answered with status 500
	 */
	void handle(Exchange exchange) throws Exception;

	/**
	 * Checks a request's head before its body is read. Runs on the event loop and must
	 * not block.
	 * @param head the request without its body
	 * @return a refusal, or empty to continue reading
	 */
	default Optional<Reply> refuseEarly(Request head) {
		return Optional.empty();
	}

}
