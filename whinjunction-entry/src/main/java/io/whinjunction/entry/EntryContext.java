package io.whinjunction.entry;

import io.whinjunction.admission.AdmissionQueue;
import io.whinjunction.engine.EngineClient;
import io.whinjunction.explain.DecisionLog;
import io.whinjunction.http.HttpCaller;
import io.whinjunction.limit.TeamLimits;
import io.whinjunction.membership.MembershipTable;
import io.whinjunction.metrics.EntryMetrics;
import io.whinjunction.once.ActionClaims;
import io.whinjunction.pipeline.PipelineChooser;
import io.whinjunction.pipeline.UpstreamTable;
import io.whinjunction.session.RetryBudget;
import io.whinjunction.time.Ticker;
import io.whinjunction.trace.Tracing;

/**
 * What the handlers of one entry share. Immutable; its parts are safe for all threads.
 *
 * @param settings the entry's settings
 * @param ticker the clock
 * @param gate the decision by a request's head
 * @param upstreams what is known of upstreams
 * @param members the other entries
 * @param limits this entry's part of the teams' rates
 * @param drafts admission of drafts
 * @param calls admission of plain calls, apart, so that a poll passes queued drafts
 * @param chooser the choice of upstreams
 * @param engines the way to engines
 * @param caller the way to plain services
 * @param claims claims of actions
 * @param budget the budget for retries
 * @param metrics metrics
 * @param tracing traces
 * @param decisions the newest decisions
 */
record EntryContext(EntrySettings settings, Ticker ticker, Gate gate, UpstreamTable upstreams, MembershipTable members,
		TeamLimits limits, AdmissionQueue drafts, AdmissionQueue calls, PipelineChooser chooser, EngineClient engines,
		HttpCaller caller, ActionClaims claims, RetryBudget budget, EntryMetrics metrics, Tracing tracing,
		DecisionLog decisions) {
}
