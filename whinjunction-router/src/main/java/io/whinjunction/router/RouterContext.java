package io.whinjunction.router;

import java.util.Optional;
import java.util.Set;

import io.netty.channel.EventLoop;
import io.whinjunction.forward.FleetRetryBudget;
import io.whinjunction.proof.ConfigurationProof;
import io.whinjunction.routing.RoutingConfiguration;

/**
 * What connections and sessions share in one process. Confined to the event loop.
 */
interface RouterContext {

	/**
	 * The event loop.
	 * @return the loop that everything runs on
	 */
	EventLoop loop();

	/**
	 * The time on a clock that doesn't count suspensions, for time limits.
	 * @return milliseconds since an arbitrary origin
	 */
	long nowMs();

	/**
	 * The time on a clock that counts suspensions, for proofs.
	 * @return milliseconds since an arbitrary origin
	 */
	long bootMs();

	/**
	 * The configuration in force.
	 * @return the configuration, or {@code null} before the first
	 */
	RoutingConfiguration configuration();

	/**
	 * How well the configuration is proved.
	 * @return the proof
	 */
	ConfigurationProof proof();

	/**
	 * All upstreams.
	 * @return the directory
	 */
	UpstreamDirectory directory();

	/**
	 * Chooses upstreams.
	 * @return the chooser
	 */
	TargetChooser chooser();

	/**
	 * Connections to upstreams.
	 * @return the pool
	 */
	UpstreamPool pool();

	/**
	 * The names on the wire.
	 * @return the dialect
	 */
	Dialect dialect();

	/**
	 * The part of the repeats to a service that this process may send.
	 * @param service the service
	 * @return its budget
	 */
	FleetRetryBudget budget(String service);

	/**
	 * Refuses requests that crash upstreams.
	 * @return the guard
	 */
	CrashGuard crashGuard();

	/**
	 * Limits that upstreams name.
	 * @return the limits
	 */
	UpstreamLimits limits();

	/**
	 * The callers' open connections.
	 * @return the set, which connections add themselves to
	 */
	Set<CallerConnection> callers();

	/**
	 * Counters and histograms.
	 * @return the metrics
	 */
	RouterMetrics metrics();

	/**
	 * Whether this process is about to stop.
	 * @return {@code true} after the signal
	 */
	boolean stopping();

	/**
	 * How long this process has been stopping.
	 * @return milliseconds since the signal; -1 where there was none
	 */
	long stopAgeMs();

	/**
	 * Whether new requests are served.
	 * @return {@code false} where this process stops and is too late for them
	 */
	boolean servesRequests();

	/**
	 * Judges an attempt that would begin now, where this process stops.
	 * @param candidate the attempt
	 * @return the judgement, or empty where this process goes on
	 */
	Optional<StopAdmission.Judgement> judgeInStop(StopAdmission.Candidate candidate);

	/**
	 * A request was answered as a whole.
	 * @param family the requests that it belongs to
	 * @param tookMs how long it took, in milliseconds
	 */
	void answered(StopAdmission.Family family, long tookMs);

	/**
	 * Notices engines that don't answer.
	 * @return the watch
	 */
	EngineMonitor engineMonitor();

	/**
	 * Reports of and orders to engines.
	 * @return the control
	 */
	EngineControl engines();

	/**
	 * The other routers.
	 * @return the table
	 */
	PeerTable peers();

}
