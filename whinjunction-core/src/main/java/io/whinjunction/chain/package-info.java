/**
 * Pipelines whose engines forward to each other: the performance of engines, which of
 * them hold which layers, and which of them a request passes through. Decisions only.
 */
package io.whinjunction.chain;
