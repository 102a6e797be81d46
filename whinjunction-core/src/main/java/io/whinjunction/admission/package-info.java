/**
 * Who may run now, who waits, and who is refused at once.
 */
package io.whinjunction.admission;
