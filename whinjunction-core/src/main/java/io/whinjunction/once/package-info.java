/**
 * At-most-once execution of actions that must not be repeated.
 */
package io.whinjunction.once;
