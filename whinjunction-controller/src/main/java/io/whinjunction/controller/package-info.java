/**
 * One candidate for giving orders to engines.
 */
package io.whinjunction.controller;
