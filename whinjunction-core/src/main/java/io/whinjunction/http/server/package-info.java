/**
 * The HTTP server, which handles complete requests on virtual threads.
 */
package io.whinjunction.http.server;
