/** What answers about decisions have in common. Not part of the API. */
package io.pollenreach.internal.preview;
