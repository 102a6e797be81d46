/**
 * Proof that the configuration in force is the newest that operators have been told is
 * accepted.
 */
package io.whinjunction.proof;
