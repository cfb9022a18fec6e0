package io.pollenreach.systemtest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import io.pollenreach.platform.Main;

/** Runs a program of the platform, and ends the threads whose names a file holds by an error, as failed memory does. */
public final class StoppableThreads {
    private static final long CHECK_MS = 50;

    private StoppableThreads() {}

    /** Runs the program; the first argument is the file, the others are the program's. */
    public static void main(String[] args) throws Exception {
        Path order = Path.of(args[0]);
        Files.deleteIfExists(order);
        Thread checks = new Thread(() -> follow(order), "thread-stopper");
        checks.setDaemon(true);
        checks.start();
        Main.main(Arrays.copyOfRange(args, 1, args.length));
    }

    private static void follow(Path order) {
        try {
            while (true) {
                if (Files.exists(order)) {
                    String prefix = Files.readString(order);
                    Files.delete(order);
                    stop(prefix);
                }
                Thread.sleep(CHECK_MS);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("the order to stop a thread could not be followed", e);
        }
    }

    @SuppressWarnings({"deprecation", "removal"})
    private static void stop(String prefix) {
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().startsWith(prefix)) {
                System.out.println("stops " + thread.getName());
                thread.stop();
            }
        }
    }
}
