/**
 * Data residency: the places where a team's data may be.
 */
package io.whinjunction.place;
