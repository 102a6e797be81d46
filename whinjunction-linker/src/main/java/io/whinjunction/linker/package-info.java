/**
 * Build step for the router's jars; not part of the running router.
 */
package io.whinjunction.linker;
