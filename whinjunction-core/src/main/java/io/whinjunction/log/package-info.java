/**
 * Log output as JSON or as {@code key=value} lines.
 */
package io.whinjunction.log;
