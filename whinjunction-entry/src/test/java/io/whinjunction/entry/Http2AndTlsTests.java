package io.whinjunction.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

import io.whinjunction.peer.PeerTransport;
import io.whinjunction.protocol.generated.Peer;
import io.whinjunction.standins.ReferenceModel;
import io.whinjunction.time.Ticker;
import io.whinjunction.tls.TlsFiles;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests HTTP/2 by prior knowledge and by ALPN, and TLS with files that change.
 */
class Http2AndTlsTests {

	private static final Path FILES = Path.of("src/test/resources/tls");

	@TempDir
	private Path folder;

	// Two streams share one connection and one is reset in the middle. The other gets its
	// complete response, and the work of the reset one is cancelled upstream.
	@Test
	void aResetHttp2StreamDoesNotAffectOthersOnItsConnection() throws InterruptedException {
		try (LocalSystem system = new LocalSystem().engines(3).entries(1).configure();
				Http2TestClient client = Http2TestClient.connect(system.entry(0).callerPort())) {
			Http2TestClient.Stream reset = client.draft("key-1", "a", 2000);
			Http2TestClient.Stream other = client.draft("key-2", "b", 30);
			LocalSystem.await(() -> reset.body().contains("data: "));
			reset.reset();
			assertThat(other.await()).endsWith("data: [DONE]\n\n");
			assertThat(HttpTestClient.tokens(other.body()))
				.isEqualTo(ReferenceModel.draft("b", LocalSystem.LAYERS, 30));
			LocalSystem.await(() -> system.engines().values().stream().allMatch((engine) -> engine.openStreams() == 0));
		}
	}

	@Test
	void withTlsHttp2IsNegotiatedByAlpnAndHttp1IsAccepted() throws Exception {
		try (LocalSystem system = new LocalSystem().engines(0).tls(tls()).entries(2)) {
			system.accept();
			LocalSystem.await(() -> HttpTestClient.get(system.entry(1).operatorPort(), "/readyz").status() == 200);
			for (HttpClient.Version version : HttpClient.Version.values()) {
				HttpResponse<String> answer = get(system, version, "src/test/resources/tls/ca.pem");
				assertThat(answer.version()).isEqualTo(version);
				assertThat(answer.headers().firstValue("whin-outcome")).contains("answered");
			}
		}
	}

	// A peer without a certificate of the configured authority must neither read nor
	// change anything.
	@Test
	void aPeerWithAnUntrustedCertificateIsRejected() throws Exception {
		try (LocalSystem system = new LocalSystem().tls(tls()).entries(1)) {
			TlsFiles untrusted = new TlsFiles(FILES.resolve("stranger.pem").toFile(),
					FILES.resolve("stranger-key.pem").toFile(), FILES.resolve("ca.pem").toFile(), Ticker.system());
			PeerTransport transport = new PeerTransport(untrusted::forPeers, 1000);
			assertThatExceptionOfType(TException.class)
				.isThrownBy(() -> transport.call(system.peerAddress(0), Peer.Client::members));
			TlsFiles peer = new TlsFiles(FILES.resolve("other-certificate.pem").toFile(),
					FILES.resolve("other-key.pem").toFile(), FILES.resolve("ca.pem").toFile(), Ticker.system());
			assertThat(new PeerTransport(peer::forPeers, 1000).call(system.peerAddress(0), Peer.Client::members)
				.getMembersSize()).isEqualTo(1);
		}
	}

	@Test
	void changedFilesAreReloadedAndUnreadableOnesAreIgnored() throws Exception {
		Path certificate = copy("certificate.pem", "certificate.pem");
		Path key = copy("key.pem", "key.pem");
		long[] nowMs = { 0 };
		Ticker ticker = new Ticker() {

			@Override
			public long nowMs() {
				return nowMs[0];
			}

			@Override
			public void sleepMs(long durationMs) {
				nowMs[0] += durationMs;
			}

		};
		TlsFiles files = new TlsFiles(certificate.toFile(), key.toFile(), FILES.resolve("ca.pem").toFile(), ticker);
		Object first = files.forCallers();
		copy("other-certificate.pem", "certificate.pem");
		copy("other-key.pem", "key.pem");
		advanceModificationTime(certificate, 10);
		ticker.sleepMs(3000);
		Object second = files.forCallers();
		assertThat(second).isNotSameAs(first);
		Files.writeString(certificate, "broken");
		advanceModificationTime(certificate, 20);
		ticker.sleepMs(3000);
		assertThat(files.forCallers()).isSameAs(second);
	}

	private static void advanceModificationTime(Path file, int seconds) throws IOException {
		Files.setLastModifiedTime(file,
				FileTime.fromMillis(Files.getLastModifiedTime(file).toMillis() + seconds * 1000L));
	}

	private Path copy(String from, String to) throws IOException {
		return Files.copy(FILES.resolve(from), this.folder.resolve(to), StandardCopyOption.REPLACE_EXISTING);
	}

	private static EntrySettings.Tls tls() {
		return new EntrySettings.Tls(FILES.resolve("certificate.pem"), FILES.resolve("key.pem"),
				FILES.resolve("ca.pem"));
	}

	private static HttpResponse<String> get(LocalSystem system, HttpClient.Version version, String authority)
			throws Exception {
		KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
		trusted.load(null, null);
		try (InputStream in = Files.newInputStream(Path.of(authority))) {
			trusted.setCertificateEntry("ca",
					(X509Certificate) CertificateFactory.getInstance("X.509").generateCertificate(in));
		}
		TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
		factory.init(trusted);
		SSLContext context = SSLContext.getInstance("TLS");
		context.init(null, factory.getTrustManagers(), null);
		URI uri = URI
			.create("https://localhost:" + system.entry(0).callerPort() + "/services/booking-api/bookings/nothing");
		try (HttpClient client = HttpClient.newBuilder().sslContext(context).version(version).build()) {
			return client.send(HttpRequest.newBuilder(uri).header("authorization", "Bearer key-1").build(),
					HttpResponse.BodyHandlers.ofString());
		}
	}

}
