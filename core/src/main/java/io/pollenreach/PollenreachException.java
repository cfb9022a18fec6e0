package io.pollenreach;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletionException;

/**
 * A failure with a numbered result code; it also completes futures exceptionally.
 *
 * <p>Immutable, so safe for use by many threads.
 */
public final class PollenreachException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;
    private final String field;
    private final int retryAfterS;

    /** Creates a failure that concerns no particular field. */
    public PollenreachException(ResultCode code, String detail) {
        this(code, null, detail, null);
    }

    /** Creates a failure about one field of the input, such as {@code spec.shape.parts}. */
    public PollenreachException(ResultCode code, String field, String detail) {
        this(code, field, detail, null);
    }

    /** Creates a failure with the cause that led to it; {@code field} may be null. */
    public PollenreachException(ResultCode code, String field, String detail, Throwable cause) {
        this(code, field, detail, cause, 0);
    }

    private PollenreachException(ResultCode code, String field, String detail, Throwable cause, int retryAfterS) {
        super(detail, cause);
        this.code = code;
        this.field = field;
        this.retryAfterS = retryAfterS;
    }

    /** Creates a refusal of what may be tried again after a time, in seconds; empty if it need not be. */
    public static PollenreachException refusal(ResultCode code, String detail, OptionalInt retryAfterS) {
        return new PollenreachException(code, null, detail, null, retryAfterS.orElse(0));
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return code;
    }

    /** Returns the field of the input that is at fault. */
    public Optional<String> field() {
        return Optional.ofNullable(field);
    }

    /** Returns after how many seconds what was refused may be tried again, if the refusal tells. */
    public OptionalInt retryAfterS() {
        return retryAfterS > 0 ? OptionalInt.of(retryAfterS) : OptionalInt.empty();
    }

    /**
     * Finds the failure behind the wrapping that futures add.
     *
     * @return the failure itself, or one with {@link ResultCode#INTERNAL} around any other throwable
     */
    public static PollenreachException of(Throwable thrown) {
        Throwable t = thrown;
        while (t instanceof CompletionException && t.getCause() != null) {
            t = t.getCause();
        }
        if (t instanceof PollenreachException) {
            return (PollenreachException) t;
        }
        return new PollenreachException(ResultCode.INTERNAL, null, String.valueOf(t), t);
    }
}
