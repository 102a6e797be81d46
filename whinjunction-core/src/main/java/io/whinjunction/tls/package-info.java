/**
 * TLS settings read from PEM files.
 */
package io.whinjunction.tls;
