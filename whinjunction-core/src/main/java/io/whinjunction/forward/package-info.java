/**
 * Decisions about one request that is handed to upstreams: whether it is tried again, and
 * what its final answer may claim.
 */
package io.whinjunction.forward;
