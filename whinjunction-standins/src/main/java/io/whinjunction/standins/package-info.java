/**
 * Small fakes of the platform, of engines and of a plain service. For tests, benchmarks
 * and local trials only, never shipped.
 */
package io.whinjunction.standins;
