/**
 * TLS contexts from PEM files.
 */
package io.whinjunction.tls;
