package io.whinjunction.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The router's metrics. Label sets are bounded: outcomes, a few fixed words and the
 * services of the configuration, never a request, a caller or an upstream. Thread-safe.
 * <p>
 * No metric samples exemplars: nothing here sets the trace that they would refer to, and
 * the sampling has a thread and timers of its own.
 */
public final class RouterMetrics {

	/** Requests that more upstreams may have run have one label. */
	private static final int MANY_UPSTREAMS = 5;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("whin_router_requests_total")
		.help("Requests by route kind and outcome")
		.withoutExemplars()
		.labelNames("kind", "outcome")
		.register(this.registry);

	private final Counter attempts = Counter.builder()
		.name("whin_router_attempts_total")
		.help("Attempts at upstreams by how they ended")
		.withoutExemplars()
		.labelNames("end")
		.register(this.registry);

	private final Counter retryLoans = Counter.builder()
		.name("whin_router_retry_loans_total")
		.help("Retries of the budget that routers lend to each other, by event: lent, borrowed, used")
		.withoutExemplars()
		.labelNames("event")
		.register(this.registry);

	private final Counter retryBudgets = Counter.builder()
		.name("whin_router_retry_budget_total")
		.help("What this router's share of the retries to a service was used for, by event: request, granted, denied, borrowed, returned, lent")
		.withoutExemplars()
		.labelNames("service", "event")
		.register(this.registry);

	private final Counter requestUpstreams = Counter.builder()
		.name("whin_router_request_upstreams_total")
		.help("Requests by the number of upstreams that may have run them, and whether their route allows so many: within, beyond")
		.withoutExemplars()
		.labelNames("upstreams", "route")
		.register(this.registry);

	private final Counter relays = Counter.builder()
		.name("whin_router_relays_total")
		.help("Requests that this router handed to peers since it did not reach upstreams, by end")
		.withoutExemplars()
		.labelNames("end")
		.register(this.registry);

	private final Counter admissions = Counter.builder()
		.name("whin_router_admissions_total")
		.help("Streams of services with ranks, by rank and decision: begun, begun-after-wait, gives-way, line-full")
		.withoutExemplars()
		.labelNames("rank", "decision")
		.register(this.registry);

	private final Counter callersLeft = Counter.builder()
		.name("whin_router_callers_left_total")
		.help("Requests whose callers closed their connections before the end of the answer, by phase: unsent, connecting, unanswered, answering")
		.withoutExemplars()
		.labelNames("phase")
		.register(this.registry);

	private final Counter callersShed = Counter.builder()
		.name("whin_router_callers_shed_total")
		.help("Callers that were refused or disconnected as they hold too much, by reason: memory, connections, header-timeout")
		.withoutExemplars()
		.labelNames("reason")
		.register(this.registry);

	private final Counter storeCalls = Counter.builder()
		.name("whin_router_store_calls_total")
		.help("Calls to the platform's store by call and result")
		.withoutExemplars()
		.labelNames("call", "result")
		.register(this.registry);

	private final Histogram duration = Histogram.builder()
		.name("whin_router_request_seconds")
		.help("From a request's head to the end of its answer")
		.classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20)
		.classicOnly()
		.withoutExemplars()
		.labelNames("kind")
		.register(this.registry);

	private final Histogram firstEvent = Histogram.builder()
		.name("whin_router_first_event_seconds")
		.help("From a request's head to the first event of its stream")
		.classicUpperBounds(0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
		.classicOnly()
		.withoutExemplars()
		.register(this.registry);

	private final Gauge state = Gauge.builder()
		.name("whin_router_state")
		.help("State by kind: version, proof_age_ms, list_age_ms, store_era, upstreams, callers, crashing_requests, limited_upstreams, backing_off_upstreams, waiting_streams, cut_off_services, relayed_for_peers, loop_late_ms, caller_memory_bytes, leading, layer_moves, class_archive, log_lines_dropped, routers, process_age_ms")
		.withoutExemplars()
		.labelNames("kind")
		.register(this.registry);

	/**
	 * Counts a request that ended.
	 * @param kind the kind of its route, or {@code none}
	 * @param outcome its outcome, one of a few words
	 * @param tookMs the time from its head to its end, in milliseconds
	 */
	public void ended(String kind, String outcome, long tookMs) {
		this.requests.labelValues(kind, outcome).inc();
		this.duration.labelValues(kind).observe(tookMs / 1000.0);
	}

	/**
	 * Counts an attempt that ended.
	 * @param end how it ended, one of a few words
	 */
	public void attempt(String end) {
		this.attempts.labelValues(end).inc();
	}

	/**
	 * Records the time to the first event of a stream.
	 * @param tookMs the time since the request's head, in milliseconds
	 */
	public void firstEvent(long tookMs) {
		this.firstEvent.observe(tookMs / 1000.0);
	}

	/**
	 * Counts a retry that is lent between routers.
	 * @param event what happened, one of a few words
	 */
	public void retryLoan(String event) {
		this.retryLoans.labelValues(event).inc();
	}

	/**
	 * Counts an event of this router's share of the retries to a service.
	 * @param service the service, one of the configuration
	 * @param event what happened, one of a few words
	 */
	void retryBudget(String service, String event) {
		this.retryBudgets.labelValues(service, event).inc();
	}

	/**
	 * Counts a request that ended by the upstreams that may have run it.
	 * @param upstreams how many did
	 * @param allowed how many its route allows
	 */
	void requestUpstreams(int upstreams, int allowed) {
		String label = (upstreams < MANY_UPSTREAMS) ? Integer.toString(upstreams) : MANY_UPSTREAMS + "+";
		this.requestUpstreams.labelValues(label, (upstreams <= allowed) ? "within" : "beyond").inc();
	}

	/**
	 * Counts a request that was handed to a peer.
	 * @param end how it ended there, one of a few words
	 */
	public void relay(String end) {
		this.relays.labelValues(end).inc();
	}

	/**
	 * Counts a decision on a stream of a service with ranks.
	 * @param rank its rank
	 * @param decision the decision, one of a few words
	 */
	public void admission(int rank, String decision) {
		this.admissions.labelValues(Integer.toString(rank), decision).inc();
	}

	/**
	 * Counts a request whose caller closed its connection.
	 * @param phase how far the request had come
	 */
	void callerLeft(RequestPhase phase) {
		this.callersLeft.labelValues(phase.logName()).inc();
	}

	/**
	 * Counts a caller that was refused or disconnected as it holds too much.
	 * @param reason what it holds, one of a few words
	 */
	void callerShed(String reason) {
		this.callersShed.labelValues(reason).inc();
	}

	/**
	 * Counts a call to the platform's store.
	 * @param call the kind of call
	 * @param result its result, one of a few words
	 */
	public void storeCall(String call, String result) {
		this.storeCalls.labelValues(call, result).inc();
	}

	/**
	 * Sets one value of the state gauge.
	 * @param kind the kind of value
	 * @param value the value
	 */
	public void state(String kind, double value) {
		this.state.labelValues(kind).set(value);
	}

	/**
	 * Returns the metrics in the Prometheus text format.
	 * @return the exposition format
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
