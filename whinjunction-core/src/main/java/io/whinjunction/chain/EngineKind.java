package io.whinjunction.chain;

/**
 * A kind of accelerator. Immutable.
 *
 * @param name its name
 * @param memoryMb memory for layers and requests, in megabytes
 * @param stepFactor how many times longer a step takes than on the reference kind
 * @param readFactor how many times longer reading a prompt takes than on the reference
 * kind
 */
public record EngineKind(String name, double memoryMb, double stepFactor, double readFactor) {
}
