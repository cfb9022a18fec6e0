package io.pollenreach.daemon.internal.declare;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.yaml.Document;
import io.pollenreach.daemon.internal.yaml.Problem;
import io.pollenreach.daemon.internal.yaml.ProblemsException;
import io.pollenreach.daemon.internal.yaml.Violation;
import io.pollenreach.daemon.internal.yaml.YamlReader;

/**
 * Reads declarations from a YAML file or from all YAML files of a directory.
 *
 * <p>Invariant: either all declarations are returned or all problems are reported. For use by one thread.
 */
public final class DeclarationFiles {
    private static final int MAX_FILES = 10_000;

    private final List<Problem> problems = new ArrayList<>();
    private final List<Declaration> declarations = new ArrayList<>();
    private final Map<String, String> places = new HashMap<>();

    private DeclarationFiles() {}

    /**
     * Reads declarations.
     *
     * @param path a file, or a directory whose files named {@code *.yaml} and {@code *.yml} are read
     * @return the declarations: policies first, then workspaces, then jobs, each in the order of files
     * @throws ProblemsException with everything that is wrong
     */
    public static List<Declaration> read(Path path) {
        DeclarationFiles files = new DeclarationFiles();
        files.list(path).forEach(files::readFile);
        if (files.declarations.isEmpty() && files.problems.isEmpty()) {
            files.report(path.toString(), ResultCode.NOT_FOUND, "There are no declarations.");
        }
        ProblemsException.throwIfAny(files.problems);
        files.declarations.sort(Comparator.comparing(d -> order(d.kind())));
        return files.declarations;
    }

    private static int order(Kind kind) {
        switch (kind) {
            case POLICY:
                return 0;
            case WORKSPACE:
                return 1;
            default:
                return 2;
        }
    }

    private List<Path> list(Path path) {
        if (!Files.isDirectory(path)) {
            return List.of(path);
        }
        try (Stream<Path> children = Files.list(path)) {
            List<Path> found = children.filter(p -> p.toString().matches(".*\\.ya?ml"))
                    .sorted()
                    .limit(MAX_FILES + 1L)
                    .toList();
            if (found.size() > MAX_FILES) {
                report(path.toString(), ResultCode.TOO_LARGE, "The directory has more than " + MAX_FILES + " files.");
                return List.of();
            }
            return found;
        } catch (IOException e) {
            report(path.toString(), ResultCode.NOT_FOUND, "The directory can't be read: " + e.getMessage());
            return List.of();
        }
    }

    private void readFile(Path file) {
        for (Document document : YamlReader.read(file, problems)) {
            List<Violation> faults = new ArrayList<>();
            Optional<Declaration> declaration = Declaration.check(document.root(), faults);
            faults.forEach(f -> problems.add(document.locate(f)));
            declaration.ifPresent(d -> add(d, document));
        }
    }

    private void add(Declaration declaration, Document document) {
        String place = document.file() + ":" + document.firstLine();
        String first = places.putIfAbsent(declaration.title(), place);
        if (first != null) {
            String detail = declaration.title() + " is also declared at " + first + ".";
            problems.add(document.locate(new Violation("name", ResultCode.DUPLICATE_NAME, detail)));
            return;
        }
        declarations.add(declaration);
    }

    private void report(String file, ResultCode code, String detail) {
        problems.add(new Problem(file, 1, new Violation("", code, detail)));
    }
}
