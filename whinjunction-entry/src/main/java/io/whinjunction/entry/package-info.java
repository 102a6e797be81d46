/**
 * One entry: callers' requests in, answers out.
 */
package io.whinjunction.entry;
