/** Records of started requests and tombstones, and the claims of non-idempotent requests. */
package io.pollenreach.internal.claims;
