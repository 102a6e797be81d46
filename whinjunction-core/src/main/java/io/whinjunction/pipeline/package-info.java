/**
 * What is known of upstreams, and the choice between them.
 */
package io.whinjunction.pipeline;
