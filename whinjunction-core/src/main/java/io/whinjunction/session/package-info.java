/**
 * One draft, followed token by token over its stages.
 */
package io.whinjunction.session;
