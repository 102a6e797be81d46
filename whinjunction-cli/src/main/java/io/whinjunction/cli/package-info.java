/**
 * The operators' command line.
 */
package io.whinjunction.cli;
