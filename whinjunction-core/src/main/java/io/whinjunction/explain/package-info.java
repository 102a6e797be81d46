/**
 * Explanations of routing decisions.
 */
package io.whinjunction.explain;
