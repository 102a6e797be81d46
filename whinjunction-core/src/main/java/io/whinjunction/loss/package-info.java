/**
 * What routers' logs say of requests that were not answered on time, and why. Reads only.
 */
package io.whinjunction.loss;
