/**
 * Explanations of routing decisions: why a request was routed as it was.
 */
package io.whinjunction.explain;
