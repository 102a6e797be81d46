/**
 * The router process: accepts callers' requests on one event loop, forwards them to
 * upstreams and, while it holds the lease, orders engines to hold layers. Its
 * communication with the platform is behind the interfaces
 * {@link io.whinjunction.router.Dialect}, {@link io.whinjunction.router.FleetStore} and
 * {@link io.whinjunction.router.EngineControl}.
 */
package io.whinjunction.router;
