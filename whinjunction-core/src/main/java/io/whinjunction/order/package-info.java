/**
 * Planning of which upstream holds which layers.
 */
package io.whinjunction.order;
