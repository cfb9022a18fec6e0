package io.pollenreach;

/**
 * How close together the parts of a gang must be placed.
 *
 * <p>Immutable; each constant knows which group of workers it keeps a gang inside.
 */
public enum Adjacency {
    /** All parts in one rack. */
    RACK {
        @Override
        public String group(String zone, String rack) {
            return zone + "/" + rack;
        }
    },
    /** All parts in one availability zone. */
    ZONE {
        @Override
        public String group(String zone, String rack) {
            return zone;
        }
    },
    /** Anywhere. */
    ANY {
        @Override
        public String group(String zone, String rack) {
            return "";
        }
    };

    /** Returns the key of the group that a worker in this zone and rack belongs to. */
    public abstract String group(String zone, String rack);
}
