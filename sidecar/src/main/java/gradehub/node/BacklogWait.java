package gradehub.node;

/**
 * Tracks since when clients may have been waiting in the listener's backlog. Sockets do not tell when a client
 * connected, but one that is accepted now has connected after the backlog was last seen empty.
 */
final class BacklogWait {

    private final Clock clock;
    private final EventLoopLag lag;
    /** When the wait began, or 0 if nobody has waited longer than for the event loop. */
    private double sinceMs;

    BacklogWait(Clock clock, EventLoopLag lag) {
        this.clock = clock;
        this.lag = lag;
    }

    /** Notes that clients may be waiting from now on, unless some may have been waiting before. */
    void begin() {
        if (sinceMs == 0) {
            sinceMs = clock.nowMs() - lag.lagMs();
        }
    }

    /** Notes that clients which are still in the backlog have connected after this time. */
    void advance(double timeMs) {
        sinceMs = Math.max(sinceMs, timeMs);
    }

    /** Notes that the backlog is empty. */
    void end() {
        sinceMs = 0;
    }

    boolean isPossible() {
        return sinceMs > 0;
    }

    /** Returns the earliest time at which a client that is accepted now may have connected; 0 if it has not waited. */
    double sinceMs() {
        return sinceMs;
    }
}
