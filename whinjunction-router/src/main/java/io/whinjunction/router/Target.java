package io.whinjunction.router;

import java.util.List;

import io.whinjunction.chain.Hop;

/**
 * Where an attempt goes. Immutable.
 *
 * @param first the upstream that the request is sent to
 * @param path the engines it passes through; empty for a plain service
 */
record Target(Upstream first, List<Hop> path) {
}
