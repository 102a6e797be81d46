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
 * Creates a span for each hop, linked to the caller's {@code traceparent}. Attributes
 * contain requests, teams and upstreams but never a caller's data, so that traces may be
 * stored anywhere. Thread-safe.
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
	 * Creates tracing that exports spans by OTLP, if an endpoint is given.
	 * @param instance the name of this process
	 * @param otlpEndpoint the endpoint to export to, or empty for no export
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
	 * Creates tracing with a custom span processor.
	 * @param instance the name of this process
	 * @param processor receives the spans
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
	 * Starts the server span of a caller's request.
	 * @param name the span's name
	 * @param headers the caller's headers, names in lower case
	 * @return the span
	 */
	public Span startServerSpan(String name, Map<String, String> headers) {
		Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GETTER);
		return this.tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.SERVER).startSpan();
	}

	/**
	 * Starts a child span.
	 * @param parent the parent span
	 * @param name the span's name
	 * @return the child span
	 */
	public Span startChildSpan(Span parent, String name) {
		return this.tracer.spanBuilder(name).setParent(Context.root().with(parent)).startSpan();
	}

	/**
	 * Records a hop that has already completed.
	 * @param parent the request's span
	 * @param name the span's name
	 * @param attributes the span's attributes
	 * @param durationMs its duration, in milliseconds
	 * @param successful whether it completed successfully
	 */
	public void recordHop(Span parent, String name, Attributes attributes, double durationMs, boolean successful) {
		long endNs = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
		Span span = this.tracer.spanBuilder(name)
			.setParent(Context.root().with(parent))
			.setSpanKind(SpanKind.CLIENT)
			.setStartTimestamp(endNs - (long) (durationMs * 1e6), TimeUnit.NANOSECONDS)
			.setAllAttributes(attributes)
			.startSpan();
		span.setStatus(successful ? StatusCode.OK : StatusCode.ERROR);
		span.end(endNs, TimeUnit.NANOSECONDS);
	}

	/**
	 * Adds the headers that link a further hop to a span.
	 * @param span the span
	 * @param headers the map to add them to
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
