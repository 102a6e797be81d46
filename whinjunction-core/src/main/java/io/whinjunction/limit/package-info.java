/**
 * Rates that many processes share: those of teams, without a platform call per request,
 * and those that upstreams name.
 */
package io.whinjunction.limit;
