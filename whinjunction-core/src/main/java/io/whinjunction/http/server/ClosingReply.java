package io.whinjunction.http.server;

/**
 * A response that closes its connection or HTTP/2 stream: a refusal by a handler of the
 * pipeline that does not know which requests are in progress. It is fired as an event to
 * {@link ExchangeHandler}, which sends it after the responses before it.
 *
 * @param reply the response
 */
record ClosingReply(Reply reply) {
}
