/**
 * Model engines, behind a narrow interface.
 */
package io.whinjunction.engine;
