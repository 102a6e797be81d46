/**
 * The known upstreams, and the choice between them.
 */
package io.whinjunction.pipeline;
