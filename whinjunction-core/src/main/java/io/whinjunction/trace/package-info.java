/**
 * Tracing, with spans for each hop.
 */
package io.whinjunction.trace;
