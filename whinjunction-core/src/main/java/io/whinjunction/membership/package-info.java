/**
 * Membership of the entries, maintained by probes and gossip of bounded size.
 */
package io.whinjunction.membership;
