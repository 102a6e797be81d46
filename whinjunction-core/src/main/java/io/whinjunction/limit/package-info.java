/**
 * Rates shared by several processes: those of teams, enforced without a platform call per
 * request, and those announced by upstreams.
 */
package io.whinjunction.limit;
