/** Reading YAML with line numbers, and checking it against tables of fields. */
package io.pollenreach.daemon.internal.yaml;
