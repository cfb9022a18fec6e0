/** HTTP calls and servers over Ratpack. */
package io.pollenreach.daemon.internal.http;
