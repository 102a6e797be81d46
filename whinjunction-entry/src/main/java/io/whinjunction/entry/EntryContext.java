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
 * The components that the handlers of one entry share. Immutable; the components are
 * thread-safe.
 *
 * @param settings the entry's settings
 * @param ticker the clock
 * @param gate decides by its head whether a request is accepted
 * @param upstreams the known upstreams
 * @param members the entries, including this one
 * @param limits the share of this entry in the rates of the teams
 * @param drafts the admission queue of drafts
 * @param calls the admission queue of plain calls; it is separate so that a plain call
 * does not wait behind queued drafts
 * @param chooser chooses upstreams
 * @param engines the client of engines
 * @param caller the client of plain services
 * @param claims the claims of actions
 * @param budget the retry budget
 * @param metrics the metrics
 * @param tracing the tracing
 * @param decisions the most recent decisions
 */
record EntryContext(EntrySettings settings, Ticker ticker, Gate gate, UpstreamTable upstreams, MembershipTable members,
		TeamLimits limits, AdmissionQueue drafts, AdmissionQueue calls, PipelineChooser chooser, EngineClient engines,
		HttpCaller caller, ActionClaims claims, RetryBudget budget, EntryMetrics metrics, Tracing tracing,
		DecisionLog decisions) {
}
