/**
 * A narrow interface to the platform's object API and instance list.
 */
package io.whinjunction.platform;
