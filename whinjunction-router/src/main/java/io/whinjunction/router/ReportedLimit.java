package io.whinjunction.router;

/**
 * What an upstream said last of the requests that it takes. Immutable.
 *
 * @param upstream its incarnation
 * @param perSecond requests a second from all routers together; -1 where it names no
 * limit any more
 * @param ageMs how long ago it said so when this was told, in milliseconds
 */
record ReportedLimit(String upstream, double perSecond, long ageMs) {
}
