/**
 * Actions that must not be repeated run at most once.
 */
package io.whinjunction.once;
