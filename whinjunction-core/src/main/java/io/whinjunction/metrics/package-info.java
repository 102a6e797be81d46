/**
 * Metrics with bounded labels.
 */
package io.whinjunction.metrics;
