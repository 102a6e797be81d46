package io.whinjunction.tls;

import java.io.File;
import java.util.List;

import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http2.Http2SecurityUtil;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.netty.handler.ssl.SupportedCipherSuiteFilter;
import io.whinjunction.time.Ticker;

/**
 * TLS contexts from PEM files that are reloaded when they change.
 * <p>
 * Invariant: files that cannot be read never replace valid ones; the previous contexts
 * stay in use and the error is logged. Thread-safe.
 */
public final class TlsFiles {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long CHECK_INTERVAL_MS = 2000;

	private final File certificate;

	private final File key;

	private final File authority;

	private final Ticker ticker;

	private Contexts current;

	private List<Long> loadedTimestamps;

	private long checkedAtMs;

	/**
	 * Reads the files.
	 * @param certificate the certificate chain, PEM
	 * @param key its private key, PEM, PKCS #8
	 * @param authority the certificates trusted between processes, PEM
	 * @param ticker the clock
	 * @throws SSLException if they cannot be read
	 */
	public TlsFiles(File certificate, File key, File authority, Ticker ticker) throws SSLException {
		this.certificate = certificate;
		this.key = key;
		this.authority = authority;
		this.ticker = ticker;
		this.loadedTimestamps = modificationTimes();
		this.current = read();
		this.checkedAtMs = ticker.nowMs();
	}

	/**
	 * Returns the context for callers' connections, which offers HTTP/2 and HTTP/1.1.
	 * @return the context of the newest readable files
	 */
	public SslContext forCallers() {
		return current().callers;
	}

	/**
	 * Returns the context for connections between processes, with mutual authentication.
	 * @return the context of the newest readable files
	 */
	public SSLContext forPeers() {
		return current().peers;
	}

	private synchronized Contexts current() {
		long nowMs = this.ticker.nowMs();
		if (nowMs - this.checkedAtMs >= CHECK_INTERVAL_MS) {
			this.checkedAtMs = nowMs;
			reload();
		}
		return this.current;
	}

	private void reload() {
		List<Long> now = modificationTimes();
		if (now.equals(this.loadedTimestamps)) {
			return;
		}
		try {
			this.current = read();
			this.loadedTimestamps = now;
			logger.atInfo().log("TLS files reloaded");
		}
		catch (SSLException | IllegalArgumentException ex) {
			logger.atSevere()
				.withCause(ex)
				.log("TLS files changed but cannot be read; the previous certificates stay in use");
		}
	}

	private List<Long> modificationTimes() {
		return List.of(this.certificate.lastModified(), this.key.lastModified(), this.authority.lastModified());
	}

	private Contexts read() throws SSLException {
		SslContext callers = SslContextBuilder.forServer(this.certificate, this.key)
			.sslProvider(SslProvider.JDK)
			.ciphers(Http2SecurityUtil.CIPHERS, SupportedCipherSuiteFilter.INSTANCE)
			.applicationProtocolConfig(new ApplicationProtocolConfig(ApplicationProtocolConfig.Protocol.ALPN,
					ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
					ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT, ApplicationProtocolNames.HTTP_2,
					ApplicationProtocolNames.HTTP_1_1))
			.build();
		JdkSslContext peers = (JdkSslContext) SslContextBuilder.forServer(this.certificate, this.key)
			.sslProvider(SslProvider.JDK)
			.trustManager(this.authority)
			.build();
		return new Contexts(callers, peers.context());
	}

	private record Contexts(SslContext callers, SSLContext peers) {
	}

}
