package io.pollenreach.daemon.internal.agent;

import io.pollenreach.internal.gang.PartKey;

/**
 * Derives the ids of tasks at the runtime from the parts that they run.
 *
 * <p>Invariant: different jobs, attempts or ranks give different ids, which need no escaping in a URL. Stateless, so
 * safe for use by many threads.
 *
 * <pre>{@code
 * TaskIds.of(new PartKey(new AttemptId("shop-a/cut-17", 2, nonce), 0)); // shop-a.cut-17.2.0
 * }</pre>
 */
final class TaskIds {
    private TaskIds() {}

    static String of(PartKey key) {
        StringBuilder id = new StringBuilder();
        key.id().job().chars().forEach(c -> appendEscaped(id, c));
        return id.append('.')
                .append(key.id().attempt())
                .append('.')
                .append(key.rank())
                .toString();
    }

    private static void appendEscaped(StringBuilder out, int c) {
        if (c == '/') {
            out.append('.');
            return;
        }
        boolean unescaped = c == '-' || c < 128 && Character.isLetterOrDigit(c);
        if (unescaped) {
            out.append((char) c);
            return;
        }
        out.append('_').append(String.format("%04x", c));
    }
}
