package io.pollenreach.daemon.internal.rpc;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.PropertyNamingStrategies.NamingBase;

/**
 * Shortens the names of the fields that travel in most frames.
 *
 * <p>A name's code is its place in the list, so the list only grows at its end, and only together with a new wire
 * version: a peer of an older version would not know the code. Names that are not listed travel as they are. Codes are
 * upper case, so that none equals a name. Immutable, so safe for use by many threads.
 */
final class WireNames extends NamingBase {
    private static final long serialVersionUID = 1L;

    private static final List<String> NAMES = List.of(
            "target",
            "parts",
            "whole",
            "configVersion",
            "leaving",
            "incarnation",
            "sequence",
            "kind",
            "service",
            "zone",
            "rack",
            "address",
            "accelerators",
            "slots",
            "load",
            "draining",
            "inUse",
            "queued",
            "meanServiceMs",
            "recentFailures",
            "home",
            "entries",
            "settled",
            "job",
            "attempt",
            "nonce",
            "rank",
            "state",
            "detail",
            "from",
            "targets",
            "gone",
            "peers",
            "worker",
            "goOn",
            "requestId",
            "workspace",
            "idempotent",
            "deadlineMs",
            "outcome",
            "status",
            "contentType",
            "body",
            "targetIncarnation");

    private static final int LETTERS = 26;
    private static final Map<String, String> CODES = codes();

    private static Map<String, String> codes() {
        Map<String, String> codes = new HashMap<>();
        for (int i = 0; i < NAMES.size(); i++) {
            String last = String.valueOf((char) ('A' + i % LETTERS));
            codes.put(NAMES.get(i), i < LETTERS ? last : (char) ('A' + i / LETTERS - 1) + last);
        }
        return Map.copyOf(codes);
    }

    @Override
    public String translate(String name) {
        return CODES.getOrDefault(name, name);
    }

    /** Returns the codes of all names, for checks. */
    static Map<String, String> all() {
        return CODES;
    }
}
