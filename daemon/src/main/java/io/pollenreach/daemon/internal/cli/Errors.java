package io.pollenreach.daemon.internal.cli;

import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.declare.Declaration;

/** Turns errors of the resource API into failures, and failures into text. Stateless. */
final class Errors {
    private Errors() {}

    /** Returns one line for people: number, name, sentence, field and detail. */
    static String text(PollenreachException failure) {
        ResultCode code = failure.code();
        String field = failure.field().map(f -> " (" + f + ")").orElse("");
        return "error " + code.number() + " " + code.name() + ": " + code.sentence() + field + " "
                + failure.getMessage();
    }

    /** Reports that one of several declarations was refused, so that the others can go on; returns the exit status. */
    static int reportOne(Declaration declaration, PollenreachException failure, Console console) {
        if (failure.code() == ResultCode.PEER_UNREACHABLE || failure.code() == ResultCode.PEER_TIMEOUT) {
            throw failure;
        }
        console.err().println(declaration.title() + ": " + text(failure));
        return failure.code().exitStatus();
    }

    /** Finds a code by its number. */
    static Optional<ResultCode> code(int number) {
        return Arrays.stream(ResultCode.values())
                .filter(c -> c.number() == number)
                .findFirst();
    }

    /** Reads an error of the resource API; empty when the body is something else. */
    static Optional<PollenreachException> read(JsonNode body) {
        if (!body.path("code").isInt() || !body.has("sentence")) {
            return Optional.empty();
        }
        ResultCode code = code(body.path("code").intValue()).orElse(ResultCode.INTERNAL);
        String field = body.path("field").isTextual() ? body.path("field").textValue() : null;
        return Optional.of(
                new PollenreachException(code, field, body.path("detail").asText()));
    }
}
