package io.pollenreach.daemon.internal.entry;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.internal.json.Json;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigSnapshotTest {
    private static final Workspace TEJO = new Workspace("tejo", List.of(), 64, 1, 10, "");
    private static final Workspace SADO = new Workspace("sado", List.of(), 32, 1, 10, "");

    @ParameterizedTest
    @ValueSource(strings = {"null", "[]", "7", "{}", "{\"name\": \"tejo\"}", "{\"name\": \"sado\", \"guarantees\": 7}"})
    void unreadableWorkspaceHidesNoOtherAndKeepsItsLastReadableForm(String unreadable) throws Exception {
        ConfigSnapshot first = ConfigSnapshot.EMPTY.apply(new RowList(1, List.of(row("sado", 1, value(SADO)))));
        JsonNode odd = Json.lenient().readTree(unreadable);
        ConfigSnapshot next = first.apply(new RowList(3, List.of(row("sado", 2, odd), row("tejo", 3, value(TEJO)))));
        assertThat(next.version()).isEqualTo(3);
        assertThat(next.workspace("tejo")).contains(TEJO);
        assertThat(next.workspace("sado")).contains(SADO);
        assertThat(next.row("workspace/sado").orElseThrow().version()).isEqualTo(2);
        ConfigSnapshot pulled = ConfigSnapshot.fromJson(3, next.toJson());
        assertThat(pulled.workspaces()).containsOnlyKeys("tejo");
    }

    private static JsonNode value(Workspace workspace) {
        return Json.lenient().valueToTree(workspace);
    }

    private static Row row(String workspace, long revision, JsonNode value) {
        return new Row(ConfigSnapshot.TABLE, "workspace/" + workspace, revision, revision, false, value);
    }
}
