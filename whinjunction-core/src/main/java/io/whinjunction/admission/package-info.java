/**
 * Admission control: which requests run, wait or are refused.
 */
package io.whinjunction.admission;
