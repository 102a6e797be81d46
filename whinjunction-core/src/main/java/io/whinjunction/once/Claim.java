package io.whinjunction.once;

/**
 * The right to send one action. Immutable.
 *
 * @param action the action
 * @param nonce the unique value by which its holder recognises it
 * @param bodyHash the hash of the body to send
 * @param version the claim's version in the object API
 */
public record Claim(ActionName action, String nonce, String bodyHash, long version) {
}
