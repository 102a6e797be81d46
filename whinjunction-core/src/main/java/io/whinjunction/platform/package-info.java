/**
 * The platform's object API and instance list, behind a narrow interface.
 */
package io.whinjunction.platform;
