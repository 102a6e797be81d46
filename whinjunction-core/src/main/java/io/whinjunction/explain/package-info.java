/**
 * Why a request went where it went.
 */
package io.whinjunction.explain;
