package gradehub.scale.model;

/** An action that runs at a scheduled point in simulated time. */
@FunctionalInterface
interface Event {
    /** Runs the event at its scheduled time. */
    void fire(long nowMicros);

    /** Whether firing would have no effect, so that the queue may discard the event. Once true, it stays true. */
    default boolean isObsolete() {
        return false;
    }
}
