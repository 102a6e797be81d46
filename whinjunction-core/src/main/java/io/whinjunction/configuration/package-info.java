/**
 * The one model of the configuration, its checks and its manifest.
 */
package io.whinjunction.configuration;
