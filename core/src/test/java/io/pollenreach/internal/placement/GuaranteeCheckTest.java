package io.pollenreach.internal.placement;

import io.pollenreach.Adjacency;
import io.pollenreach.Shape;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GuaranteeCheckTest {
    @Test
    void guaranteesThatFitTogetherAreMet() {
        SampleCluster c = new SampleCluster().workers(6, 3, 8);
        c.workspace("a", 24, new Shape(3, 8, Adjacency.RACK)).workspace("b", 24, new Shape(6, 4, Adjacency.RACK));
        assertThat(GuaranteeCheck.firstUnmet(c.view().workers(), c.workspaces.values()))
                .isEmpty();
    }

    @Test
    void firstGuaranteeThatDoesNotFitIsNamed() {
        SampleCluster c = new SampleCluster().workers(3, 3, 8);
        c.workspace("a", 24, new Shape(2, 8, Adjacency.RACK)).workspace("b", 24, new Shape(2, 8, Adjacency.RACK));
        assertThat(GuaranteeCheck.firstUnmet(c.view().workers(), c.workspaces.values()))
                .hasValueSatisfying(u -> assertThat(u.workspace()).isEqualTo("b"));
    }
}
