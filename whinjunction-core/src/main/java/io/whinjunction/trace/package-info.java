/**
 * Tracing with a span for each hop.
 */
package io.whinjunction.trace;
