package io.pollenreach.internal.routing;

/** Why a request goes to a runner or not. Immutable. */
public enum RunnerVerdict {
    /** The request goes there. */
    CHOSEN("gets the request"),
    /** It is not known to live. */
    SILENT("was not heard lately"),
    /** It takes no new requests because an operator or its own shutdown says so. */
    DRAINING("is draining"),
    /** The request was sent there before. */
    TRIED("was sent the request before"),
    /** Its slots, and what may be on the way to them, are in use. */
    FULL("has no free slot"),
    /** It is avoided because of failures. */
    FAILING("is avoided, because too many of its requests failed lately"),
    /** It was compared and would answer later. */
    SLOWER("has room, but another one is expected to answer sooner"),
    /** It was not among the few that are drawn and compared. */
    NOT_DRAWN("has room, but was not among those that are drawn and compared");

    private final String sentence;

    RunnerVerdict(String sentence) {
        this.sentence = sentence;
    }

    /** Returns the explanation shown to people; it follows the name of the runner. */
    public String sentence() {
        return sentence;
    }

    /** Tells whether a request could be sent there now. */
    public boolean hasRoom() {
        return this == CHOSEN || this == SLOWER || this == NOT_DRAWN;
    }
}
