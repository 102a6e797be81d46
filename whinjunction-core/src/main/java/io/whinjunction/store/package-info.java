/**
 * Versions of the items in the platform's store.
 */
package io.whinjunction.store;
