/**
 * The command line for operators.
 */
package io.whinjunction.cli;
