/**
 * Clocks that tests replace, and the ownership of resources.
 */
package io.whinjunction.time;
