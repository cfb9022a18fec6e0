package io.pollenreach.daemon.internal.cli;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.daemon.internal.declare.Declaration;
import io.pollenreach.daemon.internal.declare.Difference;

/**
 * What must be done so that one resource becomes as declared.
 *
 * <p>Immutable by convention: nobody changes the nodes.
 *
 * @param declaration what is wanted
 * @param version the version that was read; 0 when the resource does not exist
 * @param differences how the resource differs; empty when it does not exist or is as declared
 */
record Change(Declaration declaration, long version, List<Difference> differences) {
    /** Compares a declaration with the resource that was read. */
    static Change of(Declaration declaration, Optional<JsonNode> live) {
        if (live.isEmpty()) {
            return new Change(declaration, 0, List.of());
        }
        JsonNode spec = live.get().path("spec");
        List<Difference> found = Difference.between("spec", spec, declaration.spec());
        return new Change(declaration, live.get().path("version").asLong(), found);
    }

    boolean creates() {
        return version == 0;
    }

    boolean needed() {
        return creates() || !differences.isEmpty();
    }

    /** Returns the change as lines for people. */
    String text() {
        if (creates()) {
            return "+ " + declaration.title() + " (new)";
        }
        if (!needed()) {
            return "= " + declaration.title() + " (version " + version + ", unchanged)";
        }
        StringBuilder text = new StringBuilder("~ " + declaration.title() + " (version " + version + ")");
        differences.forEach(
                d -> text.append(System.lineSeparator()).append("    ").append(d.text()));
        return text.toString();
    }
}
