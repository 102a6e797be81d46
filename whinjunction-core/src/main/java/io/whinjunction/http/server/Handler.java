package io.whinjunction.http.server;

import java.util.Optional;

/**
 * What a server does with requests. Called on virtual threads, many at once.
 */
@FunctionalInterface
public interface Handler {

	/**
	 * Answers a request, by exactly one of {@link Exchange#reply}, {@link Exchange#end}
	 * or {@link Exchange#abort}.
	 * @param exchange the request
	 * @throws Exception answered as status 500
	 */
	void handle(Exchange exchange) throws Exception;

	/**
	 * Looks at a request's head before its body is read. Runs on the network thread and
	 * must not block.
	 * @param head the request without its body
	 * @return a refusal, or empty to read on
	 */
	default Optional<Reply> refuseEarly(Request head) {
		return Optional.empty();
	}

}
