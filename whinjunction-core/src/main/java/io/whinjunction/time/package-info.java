/**
 * Clocks that tests can replace, and the management of resources.
 */
package io.whinjunction.time;
