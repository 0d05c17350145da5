package gradehub;

/**
 * How soon the list of upstreams must be in hand again, once discovery can be reached: the protocol
 * counts a change as told after {@link #TOLD_MS}, whether it arrived or not. At the worst a call began
 * to hang just before, and then all of these pass one after the other: SILENCE_MS + PAUSE_MS + CONNECT_MS
 * + ANSWER_MS = TOLD_MS. A call that is refused, or fails, is over sooner than one that hangs.
 */
public final class ListTimes {

    /** The protocol's time from when discovery has a change, and can be reached, until it counts as told. */
    static final double TOLD_MS = 6000;
    /** The protocol's time between two lines of a watch on which nothing changes. */
    private static final double LINE_MS = 2000;
    /** A call that is silent for so long is given up: a line is due, and half the time to the next over. */
    public static final double SILENCE_MS = 1.5 * LINE_MS;
    /** A connection that is not up by then is given up, or sooner where the settings say so. */
    public static final double CONNECT_MS = LINE_MS / 4;
    /** For discovery to answer, with all the calls of the other sidecars before this one. */
    private static final double ANSWER_MS = TOLD_MS / 4;
    /** The longest wait from the end of a call to the next one, what chance adds to it included. */
    public static final double PAUSE_MS = TOLD_MS - SILENCE_MS - CONNECT_MS - ANSWER_MS;

    private ListTimes() {}
}
