package gradehub.node;

/**
 * Counts open sockets against the descriptor limit, less a reserve for the runtime. Clients and upstreams each have a
 * portion that the other can't use, because a request needs both.
 */
final class SocketBudget {

    /** For the runtime, the listener and discovery, which hold some 30 descriptors in service. */
    static final int RESERVED_DESCRIPTORS = 44;
    /** Clients may have requests open on a third of all descriptors, which are reserved for them. */
    private static final int RESERVED_FOR_CLIENTS_DIVISOR = 3;
    /** Fraction of the available sockets that clients may hold, including idle and silent connections. */
    private static final double MAX_CLIENT_FRACTION = 0.55;

    private final int maxSockets;
    private final int reservedForClients;
    private int clients;
    private int upstreams;
    private Runnable onChange = () -> {};

    SocketBudget(int descriptors) {
        maxSockets = descriptors - RESERVED_DESCRIPTORS;
        reservedForClients = Math.min(descriptors / RESERVED_FOR_CLIENTS_DIVISOR, maxSockets / 2);
    }

    /** Sets the action to run each time a socket opens or closes. */
    void onChange(Runnable action) {
        onChange = action;
    }

    /** How many more clients may connect. */
    int remainingClientSockets() {
        return Math.min((int) (MAX_CLIENT_FRACTION * maxSockets), maxSockets - upstreams) - clients;
    }

    /** How many requests clients can have open at once, with one connection each. */
    int maxConcurrentRequests() {
        return reservedForClients;
    }

    boolean canOpenUpstream() {
        return upstreams < maxSockets - reservedForClients && clients + upstreams < maxSockets;
    }

    void clientOpened() {
        clients++;
        onChange.run();
    }

    void clientClosed() {
        clients--;
        onChange.run();
    }

    void upstreamOpened() {
        upstreams++;
        onChange.run();
    }

    void upstreamClosed() {
        upstreams--;
        onChange.run();
    }
}
