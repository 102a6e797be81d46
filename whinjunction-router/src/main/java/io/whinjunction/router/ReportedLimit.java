package io.whinjunction.router;

/**
 * The most recent request limit that an upstream reported. Immutable.
 *
 * @param upstream the incarnation of the upstream
 * @param perSecond the allowed requests per second of all routers together; -1 if the
 * upstream no longer reports a limit
 * @param ageMs the age of the upstream's report when this limit was sent, in milliseconds
 */
record ReportedLimit(String upstream, double perSecond, long ageMs) {
}
