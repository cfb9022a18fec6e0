package io.pollenreach.daemon.internal.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ShutdownSafeLogManagerTest {
    @Test
    void keepsHandlersWhenTheProcessShutsDown() {
        LogManager manager = new ShutdownSafeLogManager();
        Logger logger = new Logger("io.pollenreach.test", null) {};
        Handler handler = new ConsoleHandler();
        logger.addHandler(handler);
        manager.addLogger(logger);

        // What the JDK's shutdown hook does.
        manager.reset();

        assertThat(logger.getHandlers()).containsExactly(handler);
    }
}
