/**
 * The HTTP server: passes complete requests to handlers on virtual threads.
 */
package io.whinjunction.http.server;
