package io.whinjunction.http.server;

/**
 * An answer that ends its connection, or its HTTP/2 stream: a refusal by a part of the
 * server that does not know what is being answered. As an event it passes on to
 * {@link ExchangeHandler}, which gives it in its turn.
 *
 * @param reply the answer
 */
record ClosingReply(Reply reply) {
}
