/**
 * The controller, which issues orders to engines while it holds the lease.
 */
package io.whinjunction.controller;
