package io.whinjunction.router;

/**
 * How many routers there are, as far as this one knows. Immutable.
 *
 * @param routers routers in all, this one included
 * @param routersPerDomain routers that use the same engines as this one does
 */
record FleetShare(int routers, double routersPerDomain) {
}
