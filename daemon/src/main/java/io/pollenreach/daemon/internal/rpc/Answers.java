package io.pollenreach.daemon.internal.rpc;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.Message;

/** Checks the types of answers. Stateless, so safe for use by many threads. */
final class Answers {
    private Answers() {}

    static <T extends Message> T expect(Message m, Class<T> type) {
        if (type.isInstance(m)) {
            return type.cast(m);
        }
        String got = m.getClass().getSimpleName();
        throw new PollenreachException(ResultCode.BAD_FRAME, "expected " + type.getSimpleName() + ", got " + got);
    }
}
