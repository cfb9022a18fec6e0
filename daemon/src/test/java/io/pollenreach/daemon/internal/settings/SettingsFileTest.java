package io.pollenreach.daemon.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.yaml.ProblemsException;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.assertj.core.api.Assertions.tuple;

class SettingsFileTest {
    private static final String HASH = "0".repeat(64);

    @TempDir
    Path dir;

    @Test
    void fillsInDefaults() throws IOException {
        EntrySettings settings = SettingsFile.loadEntry(file(
                """
                id: entry-1
                zone: setubal
                httpAddress: 127.0.0.1:7080
                rpcAddress: "[::1]:7100"
                platformUri: http://127.0.0.1:9000
                operatorTokenSha256: "%s"
                """
                        .formatted(HASH)));

        assertThat(settings.region()).isEqualTo("local");
        assertThat(settings.peers()).isEmpty();
        assertThat(settings.maxBodyBytes()).isEqualTo(1 << 20);
        assertThat(settings.drainTimeoutMs()).isEqualTo(30_000);
    }

    @Test
    void readsAnAgent() throws IOException {
        AgentSettings settings = SettingsFile.loadAgent(file(worker("accelerators: 8")));

        assertThat(settings.kind()).isEqualTo(TargetKind.WORKER);
        assertThat(settings.accelerators()).isEqualTo(8);
        assertThat(settings.service()).isEmpty();
    }

    @Test
    void reportsEveryProblemWithLineKeyAndCode() throws IOException {
        Path file = file(
                """
                id: Entry_1
                id: entry-2
                httpAddress: 127.0.0.1:7080
                rpcAddress: 127.0.0.1:7080
                platformUri: http://localhost:9000
                operatorTokenSha256: "%s"
                maxBodyBytes: 99999999999999999999999
                drainTimeout: 5
                drainTimeoutMs: 30s
                peers: [127.0.0.1:0, 7]
                """
                        .formatted(HASH));

        ProblemsException e = catchThrowableOfType(ProblemsException.class, () -> SettingsFile.loadEntry(file));

        assertThat(e.problems())
                .extracting(p -> p.line(), p -> p.fault().path(), p -> p.code())
                .containsExactlyInAnyOrder(
                        tuple(1, "id", ResultCode.BAD_NAME),
                        tuple(1, "zone", ResultCode.MISSING_FIELD),
                        tuple(2, "id", ResultCode.DUPLICATE_NAME),
                        tuple(4, "rpcAddress", ResultCode.CONTRADICTION),
                        tuple(5, "platformUri", ResultCode.WRONG_UNIT),
                        tuple(7, "maxBodyBytes", ResultCode.OUT_OF_RANGE),
                        tuple(8, "drainTimeout", ResultCode.UNKNOWN_FIELD),
                        tuple(9, "drainTimeoutMs", ResultCode.WRONG_UNIT),
                        tuple(10, "peers[0]", ResultCode.OUT_OF_RANGE),
                        tuple(10, "peers[1]", ResultCode.WRONG_UNIT));
        assertThat(e.problems().get(0).toString()).startsWith(file + ":1: ").contains("1005 BAD_NAME");
    }

    @Test
    void refusesKeysOfTheOtherKindOfTarget() throws IOException {
        assertThat(codes(worker("slots: 8")))
                .containsExactlyInAnyOrder(ResultCode.MISSING_FIELD, ResultCode.CONTRADICTION);
        assertThat(codes(worker("service: desk\nslots: 8\nconnections: 4").replace("WORKER", "RUNNER")))
                .containsExactly(ResultCode.CONTRADICTION);
    }

    @Test
    void reportsAFileThatCannotBeRead() {
        ProblemsException e =
                catchThrowableOfType(ProblemsException.class, () -> SettingsFile.loadAgent(dir.resolve("absent.yaml")));

        assertThat(e.code()).isEqualTo(ResultCode.NOT_FOUND);
    }

    @Test
    void refusesAnEmptyFile() throws IOException {
        assertThat(codes("")).containsExactly(ResultCode.MALFORMED);
    }

    private List<ResultCode> codes(String text) throws IOException {
        Path file = file(text);
        return catchThrowableOfType(ProblemsException.class, () -> SettingsFile.loadAgent(file)).problems().stream()
                .map(p -> p.code())
                .toList();
    }

    private Path file(String text) throws IOException {
        return Files.writeString(dir.resolve("settings.yaml"), text);
    }

    private static String worker(String rest) {
        return """
                id: worker-1
                kind: WORKER
                zone: setubal
                rack: rack-1
                httpAddress: 127.0.0.1:7081
                rpcAddress: 127.0.0.1:7101
                entries: [127.0.0.1:7100]
                targetUri: http://127.0.0.1:9000/workers/worker-1
                """
                + rest + "\n";
    }
}
