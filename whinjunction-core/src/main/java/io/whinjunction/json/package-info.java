/**
 * Reads parts of JSON texts that others wrote, in bounded memory.
 */
package io.whinjunction.json;
