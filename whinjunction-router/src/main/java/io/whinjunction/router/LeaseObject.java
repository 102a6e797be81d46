package io.whinjunction.router;

/**
 * The lease as it stands in the store. Immutable.
 *
 * @param holder the process that holds it; empty where it was given up
 * @param fencing the number that goes up with each change of holder
 * @param nonce names the write, so that a writer whose reply was lost knows its own
 * @param revision the store's revision of the object
 */
public record LeaseObject(String holder, long fencing, String nonce, long revision) {
}
