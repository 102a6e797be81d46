/**
 * Tells whether a router is cut off from the upstreams of a service, or these have ended.
 */
package io.whinjunction.reachability;
