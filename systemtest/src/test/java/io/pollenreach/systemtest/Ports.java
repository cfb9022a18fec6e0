package io.pollenreach.systemtest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds free ports for processes that must know each other's addresses before they start.
 *
 * <p>They lie below the range from which the kernel gives ports to outgoing connections, so that none of those takes a
 * port between the search and the use. Safe for use by many threads.
 */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int LAST = 31_999;
    private static final int STEP = 97;

    private static int next = FIRST + (int) (ProcessHandle.current().pid() * STEP % (LAST - FIRST));

    private Ports() {}

    /** Returns an address on 127.0.0.1 that nobody listens on. */
    static synchronized String freeAddress() {
        for (int i = FIRST; i <= LAST; i++) {
            next = next >= LAST ? FIRST : next + 1;
            try (ServerSocket probe = new ServerSocket(next, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + probe.getLocalPort();
            } catch (IOException taken) {
                continue;
            }
        }
        throw new IllegalStateException("no port is free");
    }
}
