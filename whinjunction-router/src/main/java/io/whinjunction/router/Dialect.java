package io.whinjunction.router;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates between HTTP heads of callers and upstreams and the values that a router
 * needs. Makes no decisions. Implementations are stateless.
 */
public interface Dialect {

	/**
	 * Decodes the head of a caller's request.
	 * @param head the head
	 * @return the decoded head
	 */
	CallerRequest callerRequest(HttpRequest head);

	/**
	 * Adds the headers that an upstream needs.
	 * @param headers the headers to send, which already contain the forwarded ones
	 * @param context the values to add
	 */
	void addForwardingHeaders(HttpHeaders headers, ForwardingContext context);

	/**
	 * Adds the headers of a caller that a relay needs to serve its request: those that
	 * are not forwarded to upstreams.
	 * @param headers the headers to send, which already contain the forwarded ones
	 * @param key the key that the caller presents, or {@code null}
	 * @param leftMs the time left, in milliseconds
	 * @param lastEventId the event after which the stream resumes, or {@code null}
	 */
	void addCallerHeaders(HttpHeaders headers, String key, long leftMs, String lastEventId);

	/**
	 * Decodes the head of an upstream's response.
	 * @param head the head
	 * @return the decoded head
	 */
	UpstreamHead upstreamHead(HttpResponse head);

	/**
	 * Returns the headers of an upstream's response of which a second one would make it
	 * ambiguous what it answers.
	 * @return their names
	 */
	List<String> singleResponseHeaders();

	/**
	 * Adds the id of the request to an answer that the router itself generates.
	 * @param headers the answer's headers
	 * @param request the request
	 */
	void addRequestId(HttpHeaders headers, CallerRequest request);

	/**
	 * Returns the path of the balancer's readiness check.
	 * @return the path
	 */
	String readyPath();

}
