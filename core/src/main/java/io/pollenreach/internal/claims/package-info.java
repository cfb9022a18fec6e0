/** Request ids: which ones started, which ones never will, and the claims of non-idempotent requests. */
package io.pollenreach.internal.claims;
