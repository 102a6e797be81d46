package io.whinjunction.http.server;

import java.util.function.Supplier;

import io.netty.handler.ssl.SslContext;

/**
 * Settings of one listening port. Immutable.
 *
 * @param host the address to bind
 * @param port the port; 0 for any
 * @param maxBodyBytes larger bodies are refused with 413
 * @param maxHeaderBytes larger headers are refused with 400
 * @param requestTimeoutMs within how long a request must have arrived
 * @param tls the current TLS context, asked for each connection, or {@code null} for none
 */
public record HttpServerSettings(String host, int port, int maxBodyBytes, int maxHeaderBytes, int requestTimeoutMs,
		Supplier<SslContext> tls) {

	private static final int DEFAULT_BODY_BYTES = 1 << 20;

	private static final int DEFAULT_HEADER_BYTES = 16 << 10;

	private static final int DEFAULT_REQUEST_TIMEOUT_MS = 10_000;

	/**
	 * Default limits without TLS.
	 * @param host the address to bind
	 * @param port the port; 0 for any
	 * @return the settings
	 */
	public static HttpServerSettings plain(String host, int port) {
		return new HttpServerSettings(host, port, DEFAULT_BODY_BYTES, DEFAULT_HEADER_BYTES, DEFAULT_REQUEST_TIMEOUT_MS,
				null);
	}

}
