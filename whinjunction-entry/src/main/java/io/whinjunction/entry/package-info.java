/**
 * The entry, which accepts the requests of callers and routes them to upstreams.
 */
package io.whinjunction.entry;
