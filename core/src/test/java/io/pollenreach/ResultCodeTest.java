package io.pollenreach;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResultCodeTest {
    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
    }

    @Test
    void exitStatusFollowsTheGroup() {
        assertThat(ResultCode.OK.exitStatus()).isZero();
        assertThat(ResultCode.CONFLICT.exitStatus()).isEqualTo(15);
    }
}
