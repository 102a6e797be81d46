/**
 * The protocol between entries.
 */
package io.whinjunction.peer;
