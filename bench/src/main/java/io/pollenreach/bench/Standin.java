package io.pollenreach.bench;

import java.util.concurrent.Callable;
import java.util.logging.Level;

import io.pollenreach.daemon.internal.log.LogSetup;

/** Starts stand-ins from commands. Stateless. */
final class Standin {
    private Standin() {}

    /** Starts a server, whose threads keep the process alive, and prints its address for scripts. */
    static void serve(Callable<String> start) {
        LogSetup.start(Level.INFO);
        try {
            System.out.println("listening=" + start.call());
        } catch (Exception e) {
            throw new IllegalStateException("the server did not start", e);
        }
    }
}
