package io.whinjunction.router;

import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.whinjunction.proof.ConfigurationProof;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * The components that connections and sessions of one process share. Confined to the
 * event loop.
 */
interface RouterContext {

	/**
	 * Returns the event loop.
	 * @return the loop on which everything runs
	 */
	EventLoop loop();

	/**
	 * Returns the time of a clock that does not count suspensions, for time limits.
	 * @return milliseconds since an arbitrary origin
	 */
	long nowMs();

	/**
	 * Returns the time of a clock that counts suspensions, for freshness proofs.
	 * @return milliseconds since an arbitrary origin
	 */
	long bootMs();

	/**
	 * Returns the source of randomness.
	 * @return the generator, used on the event loop only
	 */
	RandomGenerator random();

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or {@code null} before the first one
	 */
	RoutingConfiguration configuration();

	/**
	 * Returns the freshness proof of the configuration.
	 * @return the proof
	 */
	ConfigurationProof proof();

	/**
	 * Returns the count of the bytes of answers that are buffered.
	 * @return the count
	 */
	BufferedAnswers bufferedAnswers();

	/**
	 * Returns the directory of all upstreams.
	 * @return the directory
	 */
	UpstreamDirectory directory();

	/**
	 * Returns the chooser of upstreams.
	 * @return the chooser
	 */
	TargetChooser chooser();

	/**
	 * Returns the connections to upstreams.
	 * @return the pool
	 */
	UpstreamPool pool();

	/**
	 * Returns the names on the wire.
	 * @return the dialect
	 */
	Dialect dialect();

	/**
	 * Returns this process's share of the retries to each service.
	 * @return the budgets
	 */
	RetryBudgets retries();

	/**
	 * Returns the guard that refuses requests that crash upstreams.
	 * @return the guard
	 */
	CrashGuard crashGuard();

	/**
	 * Returns the monitor of this router's paths to upstreams.
	 * @return the monitor
	 */
	ReachabilityMonitor reachability();

	/**
	 * Returns what is known of upstreams that have ended.
	 * @return the upstreams
	 */
	EndedUpstreams endedUpstreams();

	/**
	 * Returns the requests that are handed to peers, and those of peers.
	 * @return the relays
	 */
	PeerRelays relays();

	/**
	 * Returns the limits that upstreams reported.
	 * @return the limits
	 */
	UpstreamLimits limits();

	/**
	 * Returns what upstreams stated about themselves.
	 * @return the table
	 */
	UpstreamAvailability availability();

	/**
	 * Returns the open connections of callers.
	 * @return the set, to which connections add themselves
	 */
	Set<CallerConnection> callers();

	/**
	 * Returns the counters and histograms.
	 * @return the metrics
	 */
	RouterMetrics metrics();

	/**
	 * Returns whether this process is stopping.
	 * @return {@code true} after the stop signal
	 */
	boolean stopping();

	/**
	 * Returns how long this process has been stopping.
	 * @return milliseconds since the stop signal; -1 if there was none
	 */
	long stopAgeMs();

	/**
	 * Returns whether new requests are served.
	 * @return {@code false} if this process is stopping and it is too late for new
	 * requests
	 */
	boolean servesRequests();

	/**
	 * Judges an attempt that would begin now, if this process is stopping.
	 * @param candidate the attempt
	 * @return the judgement, or empty if this process is not stopping
	 */
	Optional<StopAdmission.Judgement> judgeInStop(StopAdmission.Candidate candidate);

	/**
	 * Records the duration of a request that was answered completely.
	 * @param family the family of the request
	 * @param tookMs the duration, in milliseconds
	 */
	void answered(StopAdmission.Family family, long tookMs);

	/**
	 * Returns the monitor that detects engines that do not reply.
	 * @return the monitor
	 */
	EngineMonitor engineMonitor();

	/**
	 * Returns the control that sends status queries and orders to engines.
	 * @return the control
	 */
	EngineControl engines();

	/**
	 * Returns what decides when requests of different ranks begin.
	 * @return the admission
	 */
	RequestAdmission admission();

	/**
	 * Returns the table of peers.
	 * @return the table
	 */
	PeerTable peers();

}
