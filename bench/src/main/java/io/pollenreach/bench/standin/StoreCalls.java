package io.pollenreach.bench.standin;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.pollenreach.daemon.internal.services.PlatformMessages;
import io.pollenreach.daemon.internal.services.Row;

/**
 * The calls to the table service and the object store, within their rates.
 *
 * <p>Safe for use by many threads.
 */
final class StoreCalls {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TABLE_SEGMENT = 1;
    private static final int KEY_SEGMENT = 3;
    private static final int OBJECT_SEGMENT = 1;

    private final TableStore tables;
    private final TokenBucket writes;
    private final TokenBucket reads;
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

    StoreCalls(TableStore tables, TokenBucket writes, TokenBucket reads) {
        this.tables = tables;
        this.writes = writes;
        this.reads = reads;
    }

    /** Tells whether the call is within the rates; a transaction costs one write for each row. */
    boolean admit(Exchange x, byte[] body) {
        if ("GET".equals(x.method())) {
            return reads.take(1);
        }
        boolean rows = "transactions".equals(x.segment(0));
        return writes.take(rows ? transaction(body).writes().size() : 1);
    }

    /** Lets the call take effect and returns the answer, which is still to be sent. */
    Answer apply(Exchange x, byte[] body) {
        switch (x.segment(0)) {
            case "transactions":
                return transact(transaction(body));
            case "tables":
                return read(x);
            default:
                return useObject(x, body);
        }
    }

    private static PlatformMessages.Transaction transaction(byte[] body) {
        return Exchange.parse(body, PlatformMessages.Transaction.class);
    }

    private Answer transact(PlatformMessages.Transaction t) {
        try {
            PlatformMessages.Versions versions = new PlatformMessages.Versions(tables.transact(t.writes()));
            return x -> x.answer(OK, versions);
        } catch (VersionConflict e) {
            return x -> x.answerText(CONFLICT, e.getMessage());
        } catch (IllegalArgumentException e) {
            return x -> x.answerText(BAD_REQUEST, e.getMessage());
        }
    }

    private Answer read(Exchange x) {
        String table = x.segment(TABLE_SEGMENT);
        if (x.size() > KEY_SEGMENT) {
            Optional<Row> row = tables.get(table, x.rest(KEY_SEGMENT));
            return row.<Answer>map(r -> y -> y.answer(OK, r)).orElse(y -> y.answer(NOT_FOUND));
        }
        long since = Long.parseLong(x.query("since", "0"));
        Object list = tables.list(table, x.query("prefix", ""), since);
        return y -> y.answer(OK, list);
    }

    private Answer useObject(Exchange x, byte[] body) {
        String key = x.rest(OBJECT_SEGMENT);
        switch (x.method()) {
            case "PUT":
                objects.put(key, body);
                return y -> y.answer(OK);
            case "DELETE":
                objects.remove(key);
                return y -> y.answer(OK);
            default:
                byte[] content = objects.get(key);
                return content == null ? y -> y.answer(NOT_FOUND) : y -> y.answerBytes(content);
        }
    }

    /** An answer that is still to be sent. Immutable. */
    @FunctionalInterface
    interface Answer {
        void send(Exchange x) throws Exception;
    }
}
