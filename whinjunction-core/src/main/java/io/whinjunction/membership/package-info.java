/**
 * Which entries there are, by probes and gossip of bounded size.
 */
package io.whinjunction.membership;
