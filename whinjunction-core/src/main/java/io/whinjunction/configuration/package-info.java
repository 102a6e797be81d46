/**
 * The single model of the configuration, its validation and its manifest.
 */
package io.whinjunction.configuration;
