package io.whinjunction.http.server;

import java.util.function.Supplier;

import io.netty.handler.ssl.SslContext;

/**
 * Settings of one listening port. Immutable.
 *
 * @param host the address to bind
 * @param port the port; 0 for any
 * @param maxBodyBytes the maximum body size; larger bodies are refused with status 413
 * @param maxHeaderBytes the maximum header size; larger headers are refused with status
 * 400
 * @param requestTimeoutMs the time within which a request must be received, in
 * milliseconds
 * @param tls supplies the current TLS context for each new connection, or {@code null}
 * for no TLS
 */
public record HttpServerSettings(String host, int port, int maxBodyBytes, int maxHeaderBytes, int requestTimeoutMs,
		Supplier<SslContext> tls) {

	private static final int DEFAULT_BODY_BYTES = 1 << 20;

	private static final int DEFAULT_HEADER_BYTES = 16 << 10;

	private static final int DEFAULT_REQUEST_TIMEOUT_MS = 10_000;

	/**
	 * Returns settings with the default limits and without TLS.
	 * @param host the address to bind
	 * @param port the port; 0 for any
	 * @return the settings
	 */
	public static HttpServerSettings plain(String host, int port) {
		return new HttpServerSettings(host, port, DEFAULT_BODY_BYTES, DEFAULT_HEADER_BYTES, DEFAULT_REQUEST_TIMEOUT_MS,
				null);
	}

}
