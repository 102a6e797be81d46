/**
 * Which upstream should hold which layers.
 */
package io.whinjunction.order;
