package io.whinjunction.once;

/**
 * The right to send one action. Immutable.
 *
 * @param action the action
 * @param nonce the holder's own mark
 * @param bodyHash the hash of what is sent
 * @param version the claim's version in the object API
 */
public record Claim(ActionName action, String nonce, String bodyHash, long version) {
}
