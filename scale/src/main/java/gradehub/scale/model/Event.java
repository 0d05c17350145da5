package gradehub.scale.model;

/** Something that happens at one moment of simulated time. */
@FunctionalInterface
interface Event {
    /** Lets it happen. */
    void fire(long nowMicros);

    /** Whether it would change nothing any more, so that it may be dropped. Once true it stays so. */
    default boolean isObsolete() {
        return false;
    }
}
