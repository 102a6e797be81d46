/**
 * Where a team's data may be.
 */
package io.whinjunction.place;
