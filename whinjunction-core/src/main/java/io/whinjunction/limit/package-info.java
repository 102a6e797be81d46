/**
 * Teams' rates, shared by all entries without a platform call per request.
 */
package io.whinjunction.limit;
