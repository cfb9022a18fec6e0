package io.pollenreach.daemon.internal.yaml;

import java.util.ArrayList;
import java.util.List;

import io.pollenreach.daemon.internal.declare.Declaration;
import io.pollenreach.daemon.internal.settings.SettingsKeys;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;

class YamlReaderPropertiesTest {
    private static final String JOB =
            """
            kind: Job
            workspace: tejo
            name: cert-1
            spec:
              shape: {parts: 2, acceleratorsPerPart: 8, adjacency: RACK}
              declaredMs: 1000
              command: run
            """;

    @Property(tries = 500, seed = "7")
    void anyTextGivesDocumentsOrProblems(@ForAll("broken") String text) {
        List<Problem> problems = new ArrayList<>();

        List<Document> documents = YamlReader.read("f", text, problems);

        for (Document document : documents) {
            List<Violation> faults = new ArrayList<>();
            boolean accepted = Declaration.check(document.root(), faults).isPresent();
            assertThat(accepted).isEqualTo(faults.isEmpty());
            SettingsKeys.agent().check(document.root(), "", faults);
            assertThat(faults).extracting(f -> document.locate(f).line()).allMatch(l -> l >= 1);
        }
    }

    /** A good declaration of which a piece is replaced by some text. */
    @Provide
    Arbitrary<String> broken() {
        Arbitrary<Integer> cut = Arbitraries.integers().between(0, JOB.length());
        Arbitrary<String> piece = Arbitraries.strings()
                .withChars("{}[]:,-&*!|>'\"%@`#?~\n\t 0123456789eE.xaNn\u0000\u0085\ufeff")
                .ofMaxLength(12);
        return Combinators.combine(cut, cut, piece)
                .as((a, b, p) -> JOB.substring(0, Math.min(a, b)) + p + JOB.substring(Math.max(a, b)));
    }
}
