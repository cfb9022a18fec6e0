package io.pollenreach.daemon.internal.settings;

import java.util.List;

import io.pollenreach.daemon.internal.yaml.Field;
import io.pollenreach.daemon.internal.yaml.Schema;
import io.pollenreach.daemon.internal.yaml.ValueType;
import io.pollenreach.internal.wire.TargetKind;

/** The tables of all settings, from which checks, defaults and docs/SETTINGS.md come. Immutable. */
public final class SettingsKeys {
    private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final long DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
    private static final long MAX_DRAIN_TIMEOUT_MS = 600_000;
    private static final int MAX_ACCELERATORS = 64;
    private static final int MAX_SLOTS = 10_000;

    private static final Field DRAIN_TIMEOUT = Field.of(
                    "drainTimeoutMs",
                    ValueType.MILLISECONDS,
                    "How long a graceful shutdown waits for requests in flight.")
            .withRange(0, MAX_DRAIN_TIMEOUT_MS)
            .withDefault(DEFAULT_DRAIN_TIMEOUT_MS);

    private static final Schema ENTRY = Schema.of(
            Field.of("id", ValueType.NAME, "The entry's name, unique among entries."),
            Field.of("region", ValueType.NAME, "The region that it stands in.").withDefault("local"),
            Field.of("zone", ValueType.NAME, "The availability zone that it stands in."),
            Field.of("httpAddress", ValueType.ADDRESS, "Where it serves the resource API, metrics and health."),
            Field.of("rpcAddress", ValueType.ADDRESS, "Where it listens for agents and other entries."),
            Field.of("peers", ValueType.ADDRESS, "RPC addresses of other entries or of the balancer before them.")
                    .withList()
                    .withDefault(List.of()),
            Field.of("platformUri", ValueType.URI_TEXT, "Base address of the platform's services."),
            Field.of("operatorTokenSha256", ValueType.SHA256, "SHA-256 of the operators' token."),
            Field.of("maxBodyBytes", ValueType.BYTES, "The largest request or declaration that is accepted.")
                    .withRange(1024, MAX_BODY_BYTES)
                    .withDefault(DEFAULT_MAX_BODY_BYTES),
            DRAIN_TIMEOUT);

    private static final Schema AGENT = Schema.of(
            Field.of("id", ValueType.NAME, "The target's name, unique among targets."),
            Field.of("kind", ValueType.WORD, "Whether the target is a worker or a runner.")
                    .withWords(TargetKind.values()),
            Field.of("service", ValueType.NAME, "The service that a runner serves; only for a runner.")
                    .withDefault(""),
            Field.of("zone", ValueType.NAME, "The availability zone that it stands in."),
            Field.of("rack", ValueType.NAME, "The rack within the zone."),
            Field.of("httpAddress", ValueType.ADDRESS, "Where the agent serves metrics and health."),
            Field.of("rpcAddress", ValueType.ADDRESS, "Where it listens for entries and other agents."),
            Field.of("entries", ValueType.ADDRESS, "RPC addresses of entries or of the balancer before them.")
                    .withList(),
            Field.of(
                    "targetUri",
                    ValueType.URI_TEXT,
                    "Base address of the worker's runtime (http://ip:port/workers/NAME) or of the runner."),
            Field.of("accelerators", ValueType.COUNT, "How many accelerators a worker has; only for a worker.")
                    .withRange(1, MAX_ACCELERATORS)
                    .withDefault(0),
            Field.of("slots", ValueType.COUNT, "How many requests a runner serves at once; only for a runner.")
                    .withRange(1, MAX_SLOTS)
                    .withDefault(0),
            Field.of("connections", ValueType.COUNT, "The most connections to a runner; only for a runner.")
                    .withRange(1, MAX_SLOTS)
                    .withDefault(0),
            DRAIN_TIMEOUT);

    private SettingsKeys() {}

    /** Returns the table of the program {@code entry}. */
    public static Schema entry() {
        return ENTRY;
    }

    /** Returns the table of the program {@code agent}. */
    public static Schema agent() {
        return AGENT;
    }
}
