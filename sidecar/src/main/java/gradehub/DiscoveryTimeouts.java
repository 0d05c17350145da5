package gradehub;

/**
 * Timeouts that bound the time to a new list once discovery can be reached. In the worst case a call has just
 * hung: IDLE_TIMEOUT_MS + MAX_DELAY_MS + CONNECT_TIMEOUT_MS + ANSWER_TIME_MS = UPDATE_DEADLINE_MS.
 */
public final class DiscoveryTimeouts {

    /** The protocol's limit from a change, with discovery reachable, until sidecars are taken to know it. */
    static final double UPDATE_DEADLINE_MS = 6000;
    /** The protocol's interval between two lines of a watch while nothing changes. */
    private static final double LINE_INTERVAL_MS = 2000;
    /** Replaces a call that receives nothing: a line is overdue by half an interval. */
    public static final double IDLE_TIMEOUT_MS = 1.5 * LINE_INTERVAL_MS;
    /** Limit on the time to connect; settings may state a shorter one. */
    public static final double CONNECT_TIMEOUT_MS = LINE_INTERVAL_MS / 4;
    /** Time allowed for discovery to answer after the calls of all other sidecars. */
    private static final double ANSWER_TIME_MS = UPDATE_DEADLINE_MS / 4;
    /** Longest delay from the end of a call to the next one, jitter included. */
    public static final double MAX_DELAY_MS =
            UPDATE_DEADLINE_MS - IDLE_TIMEOUT_MS - CONNECT_TIMEOUT_MS - ANSWER_TIME_MS;

    private DiscoveryTimeouts() {}
}
