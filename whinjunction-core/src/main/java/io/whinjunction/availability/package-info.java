/**
 * What upstreams state about themselves in their answers, and how long they requested not
 * to be called.
 */
package io.whinjunction.availability;
