/**
 * The configuration model, its validation and its manifest.
 */
package io.whinjunction.configuration;
