package io.pollenreach.daemon.internal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.JobState;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.declare.DeclarationFiles;
import io.pollenreach.daemon.internal.declare.Kind;
import io.pollenreach.daemon.internal.settings.SettingsFile;
import io.pollenreach.daemon.internal.settings.SettingsKeys;
import io.pollenreach.daemon.internal.yaml.Field;
import io.pollenreach.daemon.internal.yaml.Schema;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Keeps the tables of the docs, and the examples, in step with the code. */
class DocsTest {
    private static final Path ROOT = Path.of("..");

    @Test
    void resultCodesMatch() throws IOException {
        List<String> documented = rows("RESULT-CODES.md", "Codes").stream()
                .map(r -> r.substring(0, r.lastIndexOf('|', r.length() - 2) + 1))
                .toList();

        assertThat(documented)
                .containsExactlyElementsOf(
                        Arrays.stream(ResultCode.values()).map(DocsTest::row).toList());
    }

    @Test
    void everyResultCodeSaysWhatToDo() throws IOException {
        assertThat(rows("RESULT-CODES.md", "Codes")).allMatch(r -> r.matches(".*\\| [A-Z][^|]{10,}\\. \\|"));
    }

    @Test
    void settingsMatch() throws IOException {
        assertThat(rows("SETTINGS.md", "Entry")).containsExactlyElementsOf(rows(SettingsKeys.entry(), ""));
        assertThat(rows("SETTINGS.md", "Agent")).containsExactlyElementsOf(rows(SettingsKeys.agent(), ""));
    }

    @Test
    void specsMatch() throws IOException {
        for (Kind kind : List.of(Kind.WORKSPACE, Kind.JOB)) {
            assertThat(rows("API.md", "Spec of a " + kind.text()))
                    .containsExactlyElementsOf(rows(kind.spec().orElseThrow(), ""));
        }
    }

    @Test
    void transitionsOfJobsMatch() throws IOException {
        List<String> documented = rows("API.md", "States of a job").stream()
                .map(r -> r.split("\\|")[1].strip() + " -> " + r.split("\\|")[2].strip())
                .toList();

        assertThat(documented)
                .containsExactlyElementsOf(Arrays.stream(JobState.values())
                        .map(DocsTest::transitions)
                        .toList());
    }

    @Test
    void examplesAreValid() throws IOException {
        Path examples = ROOT.resolve("examples");
        Path settings = examples.resolve("settings");

        assertThat(SettingsFile.loadEntry(settings.resolve("entry.yaml")).id()).isEqualTo("entry-1");
        SettingsFile.loadAgent(settings.resolve("worker-agent.yaml"));
        SettingsFile.loadAgent(settings.resolve("runner-agent.yaml"));
        assertThat(DeclarationFiles.read(examples.resolve("tejo"))).isNotEmpty();
        assertThat(DeclarationFiles.read(examples.resolve("jobs"))).isNotEmpty();
    }

    private static String transitions(JobState state) {
        String next = state.next().stream().map(JobState::name).collect(Collectors.joining(", "));
        return "`" + state + "` -> " + (next.isEmpty() ? "none" : next);
    }

    private static String row(ResultCode c) {
        return "| " + c.number() + " | `" + c + "` | " + c.httpStatus() + " | " + c.exitStatus() + " | " + c.sentence()
                + " |";
    }

    static List<String> rows(Schema schema, String prefix) {
        List<String> rows = new ArrayList<>();
        for (Field f : schema.fields()) {
            String type = (f.list() ? "list of " : "") + f.type().text();
            String defaultText = f.defaultValue().map(DocsTest::defaultText).orElse("required");
            rows.add("| `" + prefix + f.name() + "` | " + type + " | "
                    + f.type().unit() + " | " + f.range() + " | " + defaultText + " | " + f.description() + " |");
            f.fields().ifPresent(s -> rows.addAll(rows(s, prefix + f.name() + (f.list() ? "[]." : "."))));
        }
        return rows;
    }

    private static String defaultText(JsonNode value) {
        boolean none = value.isTextual() && value.textValue().isEmpty();
        return none ? "none" : value.isTextual() ? value.textValue() : value.toString();
    }

    /** Returns the rows of the table under a heading, without its own two lines of titles. */
    private static List<String> rows(String page, String heading) throws IOException {
        return Files.readAllLines(ROOT.resolve("docs").resolve(page)).stream()
                .dropWhile(l -> !l.matches("#+ " + heading))
                .skip(1)
                .takeWhile(l -> !l.startsWith("#"))
                .filter(l -> l.startsWith("|"))
                .skip(2)
                .toList();
    }
}
