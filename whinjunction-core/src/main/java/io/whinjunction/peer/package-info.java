/**
 * Communication between entries.
 */
package io.whinjunction.peer;
