/**
 * Analysis of routers' logs: which requests were not answered on time, and why.
 * Read-only.
 */
package io.whinjunction.loss;
