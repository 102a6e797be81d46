/**
 * Outgoing HTTP calls that report whether the request was written.
 */
package io.whinjunction.http;
