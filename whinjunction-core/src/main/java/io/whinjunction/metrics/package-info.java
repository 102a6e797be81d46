/**
 * Metrics whose labels have bounded cardinality.
 */
package io.whinjunction.metrics;
