/**
 * A lease in the object API with a fencing number.
 */
package io.whinjunction.lease;
