package io.whinjunction.trace;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.context.propagation.TextMapSetter;
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;

/**
 * Spans for each hop, joined to the caller's {@code traceparent}. Attributes name
 * requests, teams and upstreams, never a caller's data, so that a trace may be kept
 * anywhere. Safe for all threads.
 */
public final class Tracing implements AutoCloseable {

	private static final TextMapGetter<Map<String, String>> GETTER = new MapGetter();

	private static final TextMapSetter<Map<String, String>> SETTER = (carrier, key, value) -> {
		if (carrier != null) {
			carrier.put(key, value);
		}
	};

	private final SdkTracerProvider provider;

	private final Tracer tracer;

	private Tracing(SdkTracerProvider provider) {
		this.provider = provider;
		this.tracer = provider.get("whinjunction");
	}

	/**
	 * Tracing that exports by OTLP, or nowhere.
	 * @param instance this process's name
	 * @param otlpEndpoint where to export, or empty for nowhere
	 * @return the tracing
	 */
	public static Tracing create(String instance, String otlpEndpoint) {
		if (otlpEndpoint.isEmpty()) {
			return new Tracing(SdkTracerProvider.builder().build());
		}
		return with(instance, BatchSpanProcessor
			.builder(OtlpGrpcSpanExporter.builder().setEndpoint(otlpEndpoint).setTimeout(2, TimeUnit.SECONDS).build())
			.build());
	}

	/**
	 * Tracing through a processor of one's own.
	 * @param instance this process's name
	 * @param processor where spans go
	 * @return the tracing
	 */
	public static Tracing with(String instance, SpanProcessor processor) {
		Resource resource = Resource.getDefault()
			.merge(Resource.create(Attributes.builder()
				.put("service.name", "whinjunction")
				.put("service.instance.id", instance)
				.build()));
		return new Tracing(SdkTracerProvider.builder().setResource(resource).addSpanProcessor(processor).build());
	}

	/**
	 * Begins the caller's leg.
	 * @param name the span's name
	 * @param headers the caller's headers, names in lower case
	 * @return the span
	 */
	public Span startServerSpan(String name, Map<String, String> headers) {
		Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GETTER);
		return this.tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
	}

	/**
	 * Begins a part of a span.
	 * @param parent the span
	 * @param name the part's name
	 * @return the part
	 */
	public Span startChildSpan(Span parent, String name) {
		return this.tracer.spanBuilder(name).setParent(Context.root().with(parent)).startSpan();
	}

	/**
	 * Records a hop that has already ended.
	 * @param parent the request's span
	 * @param name the hop's name
	 * @param attributes what is said of it
	 * @param durationMs how long it took
	 * @param well whether it ended well
	 */
	public void recordHop(Span parent, String name, Attributes attributes, double durationMs, boolean well) {
		long endNs = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
		Span span = this.tracer.spanBuilder(name)
			.setParent(Context.root().with(parent))
			.setSpanKind(SpanKind.CLIENT)
			.setStartTimestamp(endNs - (long) (durationMs * 1e6), TimeUnit.NANOSECONDS)
			.setAllAttributes(attributes)
			.startSpan();
		span.setStatus(well ? StatusCode.OK : StatusCode.ERROR);
		span.end(endNs, TimeUnit.NANOSECONDS);
	}

	/**
	 * The headers that join a further hop to a span.
	 * @param span the span
	 * @param headers where to put them
	 */
	public void inject(Span span, Map<String, String> headers) {
		W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), headers, SETTER);
	}

	@Override
	public void close() {
		this.provider.close();
	}

	private static final class MapGetter implements TextMapGetter<Map<String, String>> {

		@Override
		public Iterable<String> keys(Map<String, String> carrier) {
			return carrier.keySet();
		}

		@Override
		public String get(Map<String, String> carrier, String key) {
			return (carrier != null) ? carrier.get(key) : null;
		}

	}

}
