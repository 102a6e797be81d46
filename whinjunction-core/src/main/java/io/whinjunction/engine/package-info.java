/**
 * The client interface of model engines.
 */
package io.whinjunction.engine;
