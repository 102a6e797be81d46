/**
 * Benchmarks against the project's own baselines.
 */
package io.whinjunction.bench;
