/**
 * Outcomes of requests as reported to callers.
 */
package io.whinjunction.outcome;
