package io.pollenreach.bench.standin;

import java.util.Locale;

/**
 * What a task does, read from its command text.
 *
 * <p>Immutable.
 *
 * @param kind the way it ends
 * @param workMs the work until it ends by itself, in milliseconds at full speed
 */
record Command(Kind kind, long workMs) {
    /** The ways in which a task can end by itself. Immutable. */
    enum Kind {
        SLEEP,
        FAIL,
        HANG,
        FAILFAST;

        boolean endsByItself() {
            return this == SLEEP || this == FAIL;
        }
    }

    /** Reads {@code sleep:MS}, {@code fail:MS}, {@code hang} or {@code failfast}; anything else fails at its start. */
    static Command parse(String text) {
        String[] words = (text == null ? "" : text.trim()).split(":", 2);
        try {
            long workMs = words.length > 1 ? Long.parseLong(words[1]) : 0;
            return new Command(Kind.valueOf(words[0].toUpperCase(Locale.ROOT)), workMs);
        } catch (IllegalArgumentException e) {
            return new Command(Kind.FAILFAST, 0);
        }
    }
}
