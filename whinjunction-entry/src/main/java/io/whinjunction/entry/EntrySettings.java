package io.whinjunction.entry;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.whinjunction.configuration.ConfigurationReader;
import io.whinjunction.configuration.Problem;
import io.whinjunction.configuration.Section;
import tools.jackson.databind.JsonNode;

/**
 * The settings of an entry, read from a TOML file. Immutable.
 *
 * @param id the name of this instance
 * @param failureDomain the failure domain of this instance
 * @param host the address to bind
 * @param callerPort the port for callers; 0 for any free port
 * @param operatorPort the port for operators; 0 for any free port
 * @param peerPort the port for other entries
 * @param platform the address of the object API, {@code HOST:PORT}
 * @param seeds the peer addresses of some entries
 * @param otlpEndpoint the endpoint that receives traces; empty for none
 * @param limits the limits on work and input
 * @param timing the intervals and timeouts
 * @param tls the TLS files, or {@code null} for plain text
 */
public record EntrySettings(String id, String failureDomain, String host, int callerPort, int operatorPort,
		int peerPort, String platform, List<String> seeds, String otlpEndpoint, Limits limits, Timing timing, Tls tls) {

	private static final int MAX_PORT = 65_535;

	private static final int HOUR_MS = 3_600_000;

	/**
	 * Reads and validates a settings file.
	 * @param file the file
	 * @return the settings, or all problems
	 */
	public static Checked read(Path file) {
		List<Problem> problems = new ArrayList<>();
		JsonNode tree = ConfigurationReader.readToml(file, problems);
		if (tree == null) {
			return new Checked.Invalid(problems);
		}
		Section root = Section.root(file.toString(), tree, problems);
		EntrySettings settings = new EntrySettings(root.text("id", null), root.text("failure-domain", null),
				root.text("host", "127.0.0.1"), root.integer("caller-port", null, 0, MAX_PORT),
				root.integer("operator-port", null, 0, MAX_PORT), root.integer("peer-port", null, 1, MAX_PORT),
				root.text("platform", null), root.texts("seeds", List.of()), root.text("otlp-endpoint", ""),
				Limits.read(root), Timing.read(root), Tls.read(root));
		root.reportUnknownKeys();
		return problems.isEmpty() ? new Checked.Valid(settings) : new Checked.Invalid(List.copyOf(problems));
	}

	/**
	 * Returns the address at which peers reach this entry.
	 * @return {@code HOST:PORT}
	 */
	public String peerAddress() {
		return this.host + ":" + this.peerPort;
	}

	/**
	 * Limits on work and input.
	 *
	 * @param streams the maximum number of running drafts
	 * @param waiting the maximum number of queued drafts
	 * @param plainCalls the maximum number of running plain calls, and of queued ones
	 * @param bodyBytes the maximum size of a request body
	 * @param headerBytes the maximum size of the request headers
	 * @param promptChars the maximum length of a prompt
	 * @param draftTokens the maximum number of tokens of a draft
	 */
	public record Limits(int streams, int waiting, int plainCalls, int bodyBytes, int headerBytes, int promptChars,
			int draftTokens) {

		private static Limits read(Section root) {
			Section section = root.table("limits");
			if (section == null) {
				return new Limits(256, 256, 512, 1 << 20, 16 << 10, 200_000, 8192);
			}
			Limits limits = new Limits(section.integer("streams", 256, 1, 100_000),
					section.integer("waiting", 256, 0, 100_000), section.integer("plain-calls", 512, 1, 100_000),
					section.integer("body-bytes", 1 << 20, 1024, 64 << 20),
					section.integer("header-bytes", 16 << 10, 1024, 1 << 20),
					section.integer("prompt-chars", 200_000, 1, 16 << 20),
					section.integer("draft-tokens", 8192, 1, 1 << 20));
			section.reportUnknownKeys();
			return limits;
		}

	}

	/**
	 * Intervals and timeouts, in milliseconds.
	 *
	 * @param requestMs the time within which a request must have arrived completely
	 * @param platformMs the timeout of a platform call
	 * @param watchMs the timeout of a watch
	 * @param gossipMs the interval of exchanges between entries
	 * @param instancesMs the interval of queries for the instance list and engine reports
	 * @param confirmationMs the maximum age of the freshness proof of the configuration
	 * @param suspicionMs how long an entry that does not respond stays a suspect
	 * @param noticeMs how long a stopping entry still accepts new requests, so that the
	 * balancer can detect that it is not ready
	 * @param drainMs how long a stopping entry waits for requests in progress
	 */
	public record Timing(int requestMs, int platformMs, int watchMs, int gossipMs, int instancesMs, int confirmationMs,
			int suspicionMs, int noticeMs, int drainMs) {

		private static Timing read(Section root) {
			Section section = root.table("timing");
			if (section == null) {
				return new Timing(10_000, 1000, 3000, 500, 1000, 8000, 3000, 1000, 120_000);
			}
			Timing timing = new Timing(section.integer("request-ms", 10_000, 10, HOUR_MS),
					section.integer("platform-ms", 1000, 10, HOUR_MS), section.integer("watch-ms", 3000, 10, HOUR_MS),
					section.integer("gossip-ms", 500, 10, HOUR_MS), section.integer("instances-ms", 1000, 10, HOUR_MS),
					section.integer("confirmation-ms", 8000, 10, HOUR_MS),
					section.integer("suspicion-ms", 3000, 10, HOUR_MS), section.integer("notice-ms", 1000, 0, HOUR_MS),
					section.integer("drain-ms", 120_000, 0, HOUR_MS));
			section.reportUnknownKeys();
			return timing;
		}

	}

	/**
	 * TLS files.
	 *
	 * @param certificate the certificate chain
	 * @param key the private key of the certificate
	 * @param authority the certificate authority trusted between entries
	 */
	public record Tls(Path certificate, Path key, Path authority) {

		private static Tls read(Section root) {
			Section section = root.table("tls");
			if (section == null) {
				return null;
			}
			Tls tls = new Tls(Path.of(section.text("certificate", null)), Path.of(section.text("key", null)),
					Path.of(section.text("authority", null)));
			section.reportUnknownKeys();
			return tls;
		}

	}

	/**
	 * The result of reading a settings file.
	 */
	public sealed interface Checked {

		/**
		 * The settings are valid.
		 *
		 * @param settings the settings
		 */
		record Valid(EntrySettings settings) implements Checked {
		}

		/**
		 * The settings are invalid.
		 *
		 * @param problems all problems
		 */
		record Invalid(List<Problem> problems) implements Checked {
		}

	}

}
