package io.pollenreach.daemon.internal.rpc;

import io.pollenreach.internal.wire.Message;

/**
 * What a frame carries.
 *
 * <p>Immutable.
 *
 * @param v the wire version
 * @param id the call's id, chosen by the caller and repeated in the answer
 * @param k {@link #CALL} or {@link #ANSWER}
 * @param m the message
 */
record Envelope(int v, long id, int k, Message m) {
    static final int VERSION = 1;
    static final int CALL = 0;
    static final int ANSWER = 1;

    static Envelope call(long id, Message m) {
        return new Envelope(VERSION, id, CALL, m);
    }

    static Envelope answer(long id, Message m) {
        return new Envelope(VERSION, id, ANSWER, m);
    }
}
