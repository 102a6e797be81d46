package io.whinjunction.router;

import io.whinjunction.store.StoreVersion;

/**
 * The lease as stored. Immutable.
 *
 * @param holder the process that holds the lease; empty if it was released
 * @param fencing the fencing number, which increases with each change of holder
 * @param nonce identifies the write, so that a writer whose reply was lost recognizes its
 * own write
 * @param version the version of the object; its revision is 0 if the object does not
 * exist yet
 */
public record LeaseObject(String holder, long fencing, String nonce, StoreVersion version) {
}
