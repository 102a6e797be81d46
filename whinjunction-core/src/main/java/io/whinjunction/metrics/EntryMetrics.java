package io.whinjunction.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of an entry. Label values are bounded by the configuration: teams, services
 * and a few fixed words, never a request or a caller. Thread-safe.
 */
public final class EntryMetrics {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("whin_requests_total")
		.help("Requests by outcome and code")
		.labelNames("service", "team", "outcome", "code")
		.register(this.registry);

	private final Counter retries = Counter.builder()
		.name("whin_retries_total")
		.help("Further attempts after a failed one")
		.labelNames("service")
		.register(this.registry);

	private final Counter tokens = Counter.builder()
		.name("whin_tokens_total")
		.help("Tokens given to callers")
		.labelNames("service")
		.register(this.registry);

	private final Histogram firstToken = Histogram.builder()
		.name("whin_first_token_seconds")
		.help("From the request's arrival to its first token")
		.classicUpperBounds(0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8)
		.classicOnly()
		.labelNames("service")
		.register(this.registry);

	private final Gauge gauges = Gauge.builder()
		.name("whin_state")
		.help("State of this entry by kind: running, limit, waiting, revision, confirmation_age_ms, members, given_up_claims")
		.labelNames("kind")
		.register(this.registry);

	/**
	 * Counts a completed request.
	 * @param service the service, or {@code none}
	 * @param team the team, or {@code none}
	 * @param outcome the outcome label
	 * @param code the refusal code, or {@code ok}
	 */
	public void requestCompleted(String service, String team, String outcome, String code) {
		this.requests.labelValues(service, team, outcome, code).inc();
	}

	/**
	 * Counts further attempts after a failed one.
	 * @param service the service
	 * @param count the number of attempts
	 */
	public void retried(String service, int count) {
		if (count > 0) {
			this.retries.labelValues(service).inc(count);
		}
	}

	/**
	 * Counts tokens sent to callers.
	 * @param service the service
	 * @param count the number of tokens
	 */
	public void tokens(String service, int count) {
		this.tokens.labelValues(service).inc(count);
	}

	/**
	 * Records the latency of a first token.
	 * @param service the service
	 * @param tookMs milliseconds since the request's arrival
	 */
	public void firstToken(String service, long tookMs) {
		this.firstToken.labelValues(service).observe(tookMs / 1000.0);
	}

	/**
	 * Sets a gauge of the entry's state.
	 * @param kind the kind of state
	 * @param value its value
	 */
	public void state(String kind, double value) {
		this.gauges.labelValues(kind).set(value);
	}

	/**
	 * Returns the metrics in the Prometheus text format.
	 * @return the encoded text
	 */
	public byte[] text() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toByteArray();
	}

}
