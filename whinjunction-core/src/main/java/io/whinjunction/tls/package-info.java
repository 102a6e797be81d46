/**
 * TLS from PEM files.
 */
package io.whinjunction.tls;
