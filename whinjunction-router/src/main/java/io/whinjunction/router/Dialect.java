package io.whinjunction.router;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The names that callers and upstreams use for what a router needs to know. It translates
 * and decides nothing. Implementations are stateless.
 */
public interface Dialect {

	/**
	 * Decodes a caller's head.
	 * @param head the head
	 * @return its content
	 */
	CallerRequest callerRequest(HttpRequest head);

	/**
	 * Adds what an upstream has to know.
	 * @param headers the headers to send, the forwarded ones already in them
	 * @param context what to say
	 */
	void addForwardingHeaders(HttpHeaders headers, ForwardingContext context);

	/**
	 * Decodes an upstream's head.
	 * @param head the head
	 * @return its content
	 */
	UpstreamHead upstreamHead(HttpResponse head);

	/**
	 * Names the request in an answer of the router's own.
	 * @param headers the answer's headers
	 * @param request the request
	 */
	void addRequestId(HttpHeaders headers, CallerRequest request);

	/**
	 * The path that the balancer asks whether this process takes requests.
	 * @return the path
	 */
	String readyPath();

}
