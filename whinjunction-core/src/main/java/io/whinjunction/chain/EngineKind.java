package io.whinjunction.chain;

/**
 * A kind of accelerator. Immutable.
 *
 * @param name its name
 * @param memoryMb memory for layers and requests, in megabytes
 * @param stepFactor the duration of a step, as a multiple of that on the reference kind
 * @param prefillFactor the duration of processing a prompt, as a multiple of that on the
 * reference kind
 */
public record EngineKind(String name, double memoryMb, double stepFactor, double prefillFactor) {
}
