/**
 * The account of what callers make a process hold, and who has to give it back.
 */
package io.whinjunction.memory;
