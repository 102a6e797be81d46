/**
 * Decides which requests begin, wait or are refused while callers of different priority
 * compete for the same engines. Decisions only: the clock and the load are passed in.
 */
package io.whinjunction.priority;
