/**
 * Decisions about a single request that is forwarded to upstreams: whether it is retried,
 * and what the final response may claim about its execution.
 */
package io.whinjunction.forward;
