/**
 * Outgoing HTTP calls that say whether they were written.
 */
package io.whinjunction.http;
