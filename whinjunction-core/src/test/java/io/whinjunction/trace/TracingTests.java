package io.whinjunction.trace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.data.SpanData;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Tracing}.
 */
class TracingTests {

	private static final String TRACE = "4bf92f3577b34da6a3ce929d0e0e4736";

	private static final String CALLER = "00f067aa0ba902b7";

	private final List<SpanData> ended = new ArrayList<>();

	@Test
	void everyHopIsLinkedToTheCallersTrace() {
		try (Tracing tracing = Tracing.with("entry-1", new CollectingProcessor())) {
			Span span = tracing.startServerSpan("caller POST",
					Map.of("traceparent", "00-" + TRACE + "-" + CALLER + "-01"));
			tracing.startChildSpan(span, "admission").end();
			tracing.recordHop(span, "stage 0-8", Attributes.empty(), 5, false);
			Map<String, String> headers = new HashMap<>();
			tracing.inject(span, headers);
			span.end();
			assertThat(headers.get("traceparent")).startsWith("00-" + TRACE + "-" + span.getSpanContext().getSpanId());
		}
		assertThat(this.ended).extracting(SpanData::getName).containsExactly("admission", "stage 0-8", "caller POST");
		assertThat(this.ended).allMatch((span) -> span.getTraceId().equals(TRACE));
		SpanData serverSpan = this.ended.get(2);
		assertThat(serverSpan.getParentSpanId()).isEqualTo(CALLER);
		assertThat(this.ended.subList(0, 2)).allMatch((span) -> span.getParentSpanId().equals(serverSpan.getSpanId()));
		assertThat(this.ended.get(1).getStatus().getStatusCode()).isEqualTo(StatusCode.ERROR);
	}

	private final class CollectingProcessor implements SpanProcessor {

		@Override
		public void onStart(Context context, ReadWriteSpan span) {
			// Only ended spans are collected.
		}

		@Override
		public boolean isStartRequired() {
			return false;
		}

		@Override
		public void onEnd(ReadableSpan span) {
			TracingTests.this.ended.add(span.toSpanData());
		}

		@Override
		public boolean isEndRequired() {
			return true;
		}

	}

}
