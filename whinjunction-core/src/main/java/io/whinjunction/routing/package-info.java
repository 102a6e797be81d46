/**
 * Routes by host and path, the services behind them, and the teams' keys: the model that
 * a routing process reads, built once for each version and then immutable.
 */
package io.whinjunction.routing;
