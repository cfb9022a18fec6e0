package io.pollenreach.model;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import kodkod.engine.satlab.SATFactory;

/**
 * An Alloy specification from the test resources, and its variants.
 *
 * <p>Immutable; not meant for use by many threads, because Alloy is not.
 */
final class Specification {
    private final String text;

    private Specification(String text) {
        this.text = text;
    }

    static Specification load(String resource) {
        try (InputStream in = Specification.class.getResourceAsStream("/" + resource)) {
            return new Specification(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the specification with another text in place of the line that ends with the tag. */
    Specification with(String tag, String replacement) {
        String mark = "// [" + tag + "]";
        List<String> lines = text.lines().toList();
        if (lines.stream().filter(l -> l.endsWith(mark)).count() != 1) {
            throw new IllegalArgumentException("not exactly one line has the tag " + tag);
        }
        return new Specification(String.join(
                "\n",
                lines.stream().map(l -> l.endsWith(mark) ? replacement : l).toList()));
    }

    /** Tells whether a command finds an instance: a counterexample for a check, a behaviour for a run. */
    boolean finds(String command) {
        CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
        Command found = module.getAllCommands().stream()
                .filter(c -> c.label.equals(command))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no command " + command));
        A4Options options = new A4Options();
        options.solver = SATFactory.get("sat4j");
        return TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, module.getAllReachableSigs(), found, options)
                .satisfiable();
    }
}
