/**
 * Small fakes of the platform, of engines and of a plain service. Never shipped.
 */
package io.whinjunction.standins;
