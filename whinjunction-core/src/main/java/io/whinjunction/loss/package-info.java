/**
 * Analysis of routers' logs for requests that were not answered on time. Read-only.
 */
package io.whinjunction.loss;
