package io.pollenreach.internal.batch;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/** Checks that stored rows have the fields without which they mean nothing. Stateless. */
final class RequiredField {
    private RequiredField() {}

    /** Returns a value; fails with {@code MISSING_FIELD} if there is none, so that the row counts as unreadable. */
    static <T> T of(T value, String field) {
        if (value == null) {
            throw new PollenreachException(ResultCode.MISSING_FIELD, field, field + " is missing");
        }
        return value;
    }
}
