/**
 * Tests of the promises of the system under failures.
 */
package io.whinjunction.promises;
