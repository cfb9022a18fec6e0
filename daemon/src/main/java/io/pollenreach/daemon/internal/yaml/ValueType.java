package io.pollenreach.daemon.internal.yaml;

import java.net.URI;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import io.pollenreach.ResultCode;

/** The types of values in settings and declarations. Immutable; each constant checks one value. */
public enum ValueType {
    /** Any text that is not empty. */
    TEXT("text", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            if (!value.isTextual()) {
                return wrongType(value, path);
            }
            int length = value.textValue().length();
            boolean fits = length >= field.min() && length <= field.max();
            return fits
                    ? Optional.empty()
                    : fault(
                            path,
                            ResultCode.OUT_OF_RANGE,
                            "The text has " + length + " characters; allowed are " + field.range() + ".");
        }
    },
    /** The name of a resource or target. */
    NAME("name", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            if (!value.isTextual()) {
                return wrongType(value, path);
            }
            boolean good = NAME_PATTERN.matcher(value.textValue()).matches();
            return good ? Optional.empty() : fault(path, ResultCode.BAD_NAME, ResultCode.BAD_NAME.sentence());
        }
    },
    /** An IP number and a port. */
    ADDRESS("ip:port", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            if (!value.isTextual()) {
                return wrongType(value, path);
            }
            return addressFault(value.textValue(), path);
        }
    },
    /** A base address of an HTTP service. */
    URI_TEXT("http://ip:port[/path]", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            if (!value.isTextual()) {
                return wrongType(value, path);
            }
            try {
                URI uri = URI.create(value.textValue());
                if (!"http".equals(uri.getScheme()) || uri.getAuthority() == null) {
                    return fault(path, ResultCode.WRONG_UNIT, "Write a base address like http://10.0.0.1:8080.");
                }
                return addressFault(uri.getAuthority(), path);
            } catch (IllegalArgumentException e) {
                return fault(path, ResultCode.WRONG_UNIT, "This is not a URI: " + e.getMessage());
            }
        }
    },
    /** A SHA-256 in lower-case hexadecimal. */
    SHA256("64 hexadecimal digits", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            boolean good = value.isTextual()
                    && SHA256_PATTERN.matcher(value.textValue()).matches();
            return good
                    ? Optional.empty()
                    : fault(
                            path,
                            ResultCode.WRONG_UNIT,
                            "Write the SHA-256 of the token, "
                                    + "64 lower-case hexadecimal digits: printf %s TOKEN | sha256sum.");
        }
    },
    /** One of a few words. */
    WORD("word", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            if (!value.isTextual()) {
                return wrongType(value, path);
            }
            boolean good = field.words().contains(value.textValue());
            return good
                    ? Optional.empty()
                    : fault(
                            path,
                            ResultCode.OUT_OF_RANGE,
                            "\"" + value.textValue() + "\" is not one of " + field.range() + ".");
        }
    },
    /** True or false. */
    FLAG("true or false", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            return value.isBoolean() ? Optional.empty() : wrongType(value, path);
        }
    },
    /** A whole number of things. */
    COUNT("whole number", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            return checkNumber(value, field, path);
        }
    },
    /** A duration in milliseconds. */
    MILLISECONDS("whole number", "ms") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            return checkNumber(value, field, path);
        }
    },
    /** A size in bytes. */
    BYTES("whole number", "bytes") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            return checkNumber(value, field, path);
        }
    },
    /** A mapping with fields of its own. */
    OBJECT("mapping", "") {
        @Override
        Optional<Violation> check(JsonNode value, Field field, String path) {
            return value.isObject() ? Optional.empty() : wrongType(value, path);
        }
    };

    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z][a-z0-9-]{0,62}");
    private static final Pattern SHA256_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_PORT = 65_535;

    private final String text;
    private final String unit;

    ValueType(String text, String unit) {
        this.text = text;
        this.unit = unit;
    }

    /** Returns how the type is written in the docs. */
    public String text() {
        return text;
    }

    /** Returns the unit of a number; empty for one that counts things. */
    public String unit() {
        return unit;
    }

    /** Checks one value that is not null. */
    abstract Optional<Violation> check(JsonNode value, Field field, String path);

    /** Tells whether text is a valid name of a resource. */
    public static boolean isName(String name) {
        return NAME_PATTERN.matcher(name).matches();
    }

    Optional<Violation> wrongType(JsonNode value, String path) {
        String expected = unit.isEmpty() ? text : text + " of " + unit;
        String shown = value.isContainerNode() ? "a " + (value.isArray() ? "list" : "mapping") : value.toString();
        return fault(path, ResultCode.WRONG_UNIT, "Expected " + expected + ", found " + shown + ".");
    }

    Optional<Violation> checkNumber(JsonNode value, Field field, String path) {
        if (!value.isIntegralNumber()) {
            return wrongType(value, path);
        }
        boolean fits = value.canConvertToLong() && value.longValue() >= field.min() && value.longValue() <= field.max();
        return fits
                ? Optional.empty()
                : fault(
                        path,
                        ResultCode.OUT_OF_RANGE,
                        value + " is outside " + field.range() + (unit.isEmpty() ? "." : " " + unit + "."));
    }

    static Optional<Violation> addressFault(String address, String path) {
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? address : address.substring(0, colon);
        boolean ip = NetUtil.isValidIpV4Address(host)
                || host.startsWith("[") && host.endsWith("]") && NetUtil.isValidIpV6Address(host);
        if (!ip || colon < 0) {
            return fault(
                    path,
                    ResultCode.WRONG_UNIT,
                    "Write an IP number and a port, like 10.0.0.1:7100; found \"" + address + "\".");
        }
        String port = address.substring(colon + 1);
        boolean good = port.matches("[0-9]{1,5}") && Integer.parseInt(port) >= 1 && Integer.parseInt(port) <= MAX_PORT;
        return good
                ? Optional.empty()
                : fault(path, ResultCode.OUT_OF_RANGE, "The port \"" + port + "\" is outside 1 to " + MAX_PORT + ".");
    }

    private static Optional<Violation> fault(String path, ResultCode code, String detail) {
        return Optional.of(new Violation(path, code, detail));
    }
}
