/**
 * A narrow interface to model engines, and its HTTP implementation.
 */
package io.whinjunction.engine;
