/**
 * The HTTP server: whole requests on virtual threads.
 */
package io.whinjunction.http.server;
