/**
 * The routing process: takes callers' requests on one event loop, hands them to upstreams
 * and, while it holds the lease, orders engines to hold layers. What it speaks with the
 * platform is behind the interfaces {@link io.whinjunction.router.Dialect},
 * {@link io.whinjunction.router.FleetStore} and
 * {@link io.whinjunction.router.EngineControl}.
 */
package io.whinjunction.router;
