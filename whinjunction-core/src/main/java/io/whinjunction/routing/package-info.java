/**
 * Routes by host and path, the services behind them, and the keys of teams: the model
 * that a router reads, built once per version and immutable afterwards.
 */
package io.whinjunction.routing;
