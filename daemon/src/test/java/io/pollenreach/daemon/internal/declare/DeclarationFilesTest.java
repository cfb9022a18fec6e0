package io.pollenreach.daemon.internal.declare;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.yaml.Problem;
import io.pollenreach.daemon.internal.yaml.ProblemsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.assertj.core.api.Assertions.tuple;

class DeclarationFilesTest {
    private static final String JOB =
            """
            kind: Job
            workspace: tejo
            name: %s
            spec:
              shape: {parts: 2, acceleratorsPerPart: 8}
              command: run
            """;
    private static final String WORKSPACE =
            """
            kind: Workspace
            name: tejo
            spec:
              guarantees: [{parts: 2, acceleratorsPerPart: 8, adjacency: RACK}]
              maxAccelerators: %s
              tokenSha256: %s
            """;

    @TempDir
    Path dir;

    @Test
    void ordersWorkspacesBeforeJobsAndFillsInDefaults() throws IOException {
        write("a.yaml", JOB.formatted("cert-1"));
        write("b.yml", WORKSPACE.formatted("32", "a".repeat(64)));
        write("notes.txt", "not a declaration");

        List<Declaration> read = DeclarationFiles.read(dir);

        assertThat(read).extracting(Declaration::title).containsExactly("Workspace/tejo", "Job/tejo/cert-1");
        assertThat(read.get(0).spec().path("share").asInt()).isEqualTo(100);
        assertThat(read.get(1).spec().at("/shape/adjacency").asText()).isEqualTo("ANY");
    }

    @Test
    void reportsDuplicateNamesInADirectory() throws IOException {
        write("a.yaml", JOB.formatted("cert-1"));
        write("b.yaml", JOB.formatted("cert-2") + "---\n" + JOB.formatted("cert-1"));

        assertThat(problems())
                .extracting(Problem::line, Problem::code)
                .containsExactly(tuple(10, ResultCode.DUPLICATE_NAME));
    }

    @Test
    void reportsGuaranteesAboveTheMaximum() throws IOException {
        write("a.yaml", WORKSPACE.formatted("15", "a".repeat(64)));

        assertThat(problems()).extracting(Problem::code).containsExactly(ResultCode.CONTRADICTION);
    }

    @Test
    void reportsAbsurdSizesAndUnknownKindsTogether() throws IOException {
        write("a.yaml", JOB.formatted("cert-1").replace("parts: 2", "parts: -1"));
        write("b.yaml", JOB.formatted("cert-2").replace("parts: 2", "parts: 100000000000000000000"));
        write("c.yaml", JOB.formatted("cert-3").replace("kind: Job", "kind: Pod"));
        write("d.yaml", JOB.formatted("Cert").replace("acceleratorsPerPart: 8", "acceleratorsPerPart: 1.5"));
        write("e.yaml", JOB.formatted("cert-4").replace("parts: 2,", ""));

        assertThat(problems())
                .extracting(Problem::code)
                .containsExactly(
                        ResultCode.OUT_OF_RANGE,
                        ResultCode.OUT_OF_RANGE,
                        ResultCode.UNKNOWN_KIND,
                        ResultCode.BAD_NAME,
                        ResultCode.WRONG_UNIT,
                        ResultCode.MISSING_FIELD);
    }

    @Test
    void reportsADirectoryWithoutDeclarations() {
        assertThat(problems()).extracting(Problem::code).containsExactly(ResultCode.NOT_FOUND);
    }

    private List<Problem> problems() {
        return catchThrowableOfType(ProblemsException.class, () -> DeclarationFiles.read(dir))
                .problems();
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(dir.resolve(name), text);
    }
}
