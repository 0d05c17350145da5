package gradehub.node;

/**
 * Bounds how long the requests of a client connection have waited before they are read. Sockets do not tell when input
 * arrived, so that the bound may be too long, but never too short.
 */
final class UnreadTime {

    /** The earliest time at which the client may have connected, or 0 if it has not waited to be accepted. */
    private final double connectedSinceMs;

    private double openedMs;
    private double lagAtOpenMs;
    /** Input that had arrived when the connection was accepted, if it may have waited for that. */
    private int bytesAtOpen;

    private long receivedBytes;
    /** Since when input may have waited because of pauses, or 0 once all that had arrived has been read. */
    private double pausedSinceMs;
    /** Whether input is being decoded: what was held behind the request being decoded has waited as long as that. */
    private boolean reading;

    UnreadTime(double connectedSinceMs) {
        this.connectedSinceMs = connectedSinceMs;
    }

    /** Records the accept, with the lag of the event loop and the number of bytes that had arrived before. */
    void opened(double nowMs, double lagMs, int arrivedBytes) {
        openedMs = nowMs;
        lagAtOpenMs = lagMs;
        bytesAtOpen = connectedSinceMs > 0 ? arrivedBytes : 0;
    }

    void received(int bytes) {
        reading = true;
        receivedBytes += bytes;
    }

    void readCompleted() {
        reading = false;
    }

    /** Records that the connection takes no requests for now. */
    void paused(double nowMs) {
        pausedSinceMs = pausedSinceMs == 0 ? nowMs : pausedSinceMs;
    }

    /** Whether a wait because of pauses can end now: not while input is being decoded. */
    boolean mayEndWait() {
        return pausedSinceMs > 0 && !reading;
    }

    /** Records that all input that had arrived has been read. */
    void waitEnded() {
        pausedSinceMs = 0;
    }

    /**
     * Returns an upper bound on how long the request just read has waited. The first request of a client that was
     * accepted late may have arrived before the accept; this is assumed if it is read within the lag measured at the
     * accept. If it had arrived before an accept for which clients had to wait, it may have waited for as long as any of
     * them. Behind other requests of its connection it may have waited since reading paused.
     */
    double maxMs(double nowMs, double lagMs, boolean first) {
        double sinceOpenedMs = nowMs - openedMs;
        double unreadMs = first && sinceOpenedMs < lagAtOpenMs ? lagAtOpenMs + sinceOpenedMs : 0;
        if (receivedBytes <= bytesAtOpen) {
            unreadMs = Math.max(unreadMs, nowMs - connectedSinceMs);
        }
        if (pausedSinceMs > 0) {
            unreadMs = Math.max(unreadMs, nowMs - pausedSinceMs);
        }
        return Math.max(unreadMs, lagMs);
    }
}
