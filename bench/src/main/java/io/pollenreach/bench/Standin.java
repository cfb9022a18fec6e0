package io.pollenreach.bench;

import java.util.concurrent.Callable;

/** Starts stand-ins from commands. Stateless. */
final class Standin {
    private Standin() {}

    /** Starts a server, whose threads keep the process alive, and prints its address for scripts. */
    static void serve(Callable<String> start) {
        try {
            System.out.println("listening=" + start.call());
        } catch (Exception e) {
            throw new IllegalStateException("the server did not start", e);
        }
    }
}
