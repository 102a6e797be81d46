/**
 * What a caller may be told about its request.
 */
package io.whinjunction.outcome;
