package io.pollenreach.bench.experiment;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExperimentTest {
    @ParameterizedTest
    @ValueSource(strings = {"retorno", "cascade"})
    void sameSeedGivesTheSameFigures(String workload) {
        assertThat(table(workload, 7)).isEqualTo(table(workload, 7)).isNotEqualTo(table(workload, 8));
    }

    @ParameterizedTest
    @EnumSource(PolicyVersion.class)
    void everyPolicyMeetsTheSameDemand(PolicyVersion version) {
        Workload w = Workload.load("retorno");
        long all = Request.all(w, 3).size();
        assertThat(new RequestTrial(w, version, 3).run(3, 0).completion.getTotalCount())
                .isEqualTo(all);
    }

    @Test
    void everyJobThatCanRunIsCounted() {
        Workload w = Workload.load("cascade");
        long all = Job.all(w, 3).stream()
                .filter(j -> !j.kind.name().equals("impossible"))
                .count();
        Figures f = new JobTrial(w, PolicyVersion.V1, 3, Scenario.LOST).run();
        assertThat(f.completion.getTotalCount()).isEqualTo(all);
    }

    private static String table(String workload, long seed) {
        List<Experiment.Row> rows = new Experiment(
                        List.of(PolicyVersion.V1), List.of(Experiment.Demand.values()), List.of(seed))
                .run(workload);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        TableReport.print(rows, new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
