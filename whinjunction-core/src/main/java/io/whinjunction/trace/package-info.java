/**
 * Spans for each hop.
 */
package io.whinjunction.trace;
