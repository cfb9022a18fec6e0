package io.pollenreach.daemon.internal.yaml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.pollenreach.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class YamlReaderTest {
    private final List<Problem> problems = new ArrayList<>();

    @TempDir
    Path dir;

    @Test
    void remembersLinesOverSeveralDocuments() {
        List<Document> documents = YamlReader.read("f", "a: 1\n---\n# note\n---\nb:\n  - c: 2\n", problems);

        assertThat(problems).isEmpty();
        assertThat(documents).hasSize(2);
        assertThat(documents.get(1).locate(fault("b[0].c")).line()).isEqualTo(6);
        assertThat(documents.get(1).locate(fault("b[0].missing")).line()).isEqualTo(6);
        assertThat(documents.get(1).locate(fault("absent")).line()).isEqualTo(5);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a: [1", "a: \"x", "\t- a", "- 1", "text", "a: &x 1\nb: *x", "a: b: c", "{a: 1}}", "a: @x"})
    void reportsMalformedTextWithoutThrowing(String text) {
        YamlReader.read("f", text, problems);

        assertThat(problems).extracting(Problem::code).contains(ResultCode.MALFORMED);
    }

    @Test
    void refusesDeepNesting() {
        YamlReader.read("f", "a: " + "[".repeat(500) + "]".repeat(500), problems);

        assertThat(problems).extracting(Problem::code).containsExactly(ResultCode.MALFORMED);
    }

    @Test
    void refusesGiantFiles() throws IOException {
        Path file = Files.writeString(dir.resolve("giant.yaml"), "a: " + "x".repeat(YamlReader.MAX_FILE_BYTES));

        assertThat(YamlReader.read(file, problems)).isEmpty();
        assertThat(problems).extracting(Problem::code).containsExactly(ResultCode.TOO_LARGE);
    }

    @Test
    void refusesBinaryFiles() throws IOException {
        Path file = Files.write(dir.resolve("binary.yaml"), new byte[] {(byte) 0xff, (byte) 0xfe, 0});

        YamlReader.read(file, problems);

        assertThat(problems).extracting(Problem::code).containsExactly(ResultCode.MALFORMED);
    }

    private static Violation fault(String path) {
        return new Violation(path, ResultCode.MISSING_FIELD, "");
    }
}
