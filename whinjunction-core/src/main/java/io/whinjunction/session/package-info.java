/**
 * Execution of a draft, token by token across its stages.
 */
package io.whinjunction.session;
