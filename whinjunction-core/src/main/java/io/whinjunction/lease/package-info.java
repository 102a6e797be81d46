/**
 * Leases with fencing numbers.
 */
package io.whinjunction.lease;
