/**
 * Log lines as JSON.
 */
package io.whinjunction.log;
