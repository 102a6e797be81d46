/**
 * Proof that the configuration in force is the newest one whose acceptance was reported
 * to operators.
 */
package io.whinjunction.proof;
