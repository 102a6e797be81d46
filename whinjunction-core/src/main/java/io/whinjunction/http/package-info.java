/**
 * Outgoing HTTP calls whose results state whether the request was written.
 */
package io.whinjunction.http;
