package gradehub;

/**
 * Timeouts that bring a new list of upstreams in time after an outage of discovery. In the worst case
 * IDLE_TIMEOUT_MS + MAX_DELAY_MS + CONNECT_TIMEOUT_MS + ANSWER_TIME_MS = UPDATE_DEADLINE_MS pass.
 */
public final class DiscoveryTimeouts {

    /** The protocol's time from when discovery has a change, and can be reached, until it counts as told. */
    static final double UPDATE_DEADLINE_MS = 6000;
    /** The protocol's time between two lines of a watch on which nothing changes. */
    private static final double LINE_INTERVAL_MS = 2000;
    /** A call that is silent for so long is given up: a line is due, and half the time to the next over. */
    public static final double IDLE_TIMEOUT_MS = 1.5 * LINE_INTERVAL_MS;
    /** A connection that is not up by then is given up, or sooner where the settings say so. */
    public static final double CONNECT_TIMEOUT_MS = LINE_INTERVAL_MS / 4;
    /** For discovery to answer, with all the calls of the other sidecars before this one. */
    private static final double ANSWER_TIME_MS = UPDATE_DEADLINE_MS / 4;
    /** The longest wait from the end of a call to the next one, what chance adds to it included. */
    public static final double MAX_DELAY_MS =
            UPDATE_DEADLINE_MS - IDLE_TIMEOUT_MS - CONNECT_TIMEOUT_MS - ANSWER_TIME_MS;

    private DiscoveryTimeouts() {}
}
