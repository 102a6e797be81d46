/**
 * What must always hold, each under the failures of the brief.
 */
package io.whinjunction.promises;
