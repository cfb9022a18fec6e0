package io.pollenreach.internal.batch;

/**
 * Tells the announcements of a known worker process from odd ones under its name.
 *
 * <p>A process describes itself the same way all its life, and counts its announcements one by one. One that differs may be
 * another writer's, so it counts only once a second one confirms it without one of the known kind in between; the
 * process itself, which announces itself all the time, thereby also corrects an odd first announcement.
 *
 * <p>Invariant: an announcement that is not accepted leaves no trace in what later ones of the known kind are compared
 * with. Not thread-safe.
 *
 * @param <D> what stays the same during the life of a process
 */
public final class AnnouncementFilter<D> {
    /**
     * Announcements that may be missing between two; one comes each second or two. One that is further back is not late, and
     * one that is further ahead was not counted by the same process.
     */
    static final long MAX_GAP = 1_000;

    /** What an announcement is worth. Immutable. */
    public enum Verdict {
        /** It is of the known process, and newer than those before. */
        ACCEPTED,
        /** It is of the known process, and an accepted one is newer. */
        LATE,
        /** It may be another writer's. */
        DOUBTFUL
    }

    /** An announcement. Immutable; {@code sequence} is 0 if no announcement has been heard. */
    private record Announcement<D>(D description, long sequence) {
        boolean mayPrecede(Announcement<D> next) {
            long gap = next.sequence - sequence;
            return description.equals(next.description) && (sequence == 0 || gap >= 0 && gap <= MAX_GAP);
        }
    }

    private Announcement<D> accepted;
    private Announcement<D> doubtful;

    /**
     * Creates a filter for a process.
     *
     * @param description how the process has described itself
     * @param sequence the number of that announcement; 0 if it is not known
     */
    public AnnouncementFilter(D description, long sequence) {
        accepted = new Announcement<>(description, sequence);
    }

    /** Takes an announcement under the name of the process. */
    public Verdict take(D description, long sequence) {
        Announcement<D> next = new Announcement<>(description, sequence);
        if (accepted.mayPrecede(next)) {
            accepted = next;
            doubtful = null;
            return Verdict.ACCEPTED;
        }
        if (next.mayPrecede(accepted)) {
            return Verdict.LATE;
        }
        if (doubtful != null && doubtful.mayPrecede(next) && doubtful.sequence() < sequence) {
            accepted = next;
            doubtful = null;
            return Verdict.ACCEPTED;
        }
        doubtful = next;
        return Verdict.DOUBTFUL;
    }
}
