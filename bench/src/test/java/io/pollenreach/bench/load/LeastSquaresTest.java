package io.pollenreach.bench.load;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LeastSquaresTest {
    @Test
    void findsALineAndItsResidual() {
        LeastSquares exact = LeastSquares.fit(List.of(1.0, 2.0, 4.0), List.of(5.0, 7.0, 11.0));
        assertThat(exact.slope()).isCloseTo(2, within(1e-9));
        assertThat(exact.intercept()).isCloseTo(3, within(1e-9));
        assertThat(exact.residual()).isCloseTo(0, within(1e-9));
        LeastSquares off = LeastSquares.fit(List.of(0.0, 0.0, 1.0, 1.0), List.of(1.0, -1.0, 1.0, -1.0));
        assertThat(off.slope()).isCloseTo(0, within(1e-9));
        assertThat(off.residual()).isCloseTo(1, within(1e-9));
    }
}
