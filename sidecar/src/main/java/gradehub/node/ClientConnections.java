package gradehub.node;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open client connections. Each holds a descriptor, so connections that stay silent, never complete a request or do
 * not read are closed after a timeout. When descriptors run short, idle ones are closed too, least recently used first.
 */
final class ClientConnections {

    /** Client sockets kept free for new connections. */
    private static final int SPARE_SOCKETS = 32;
    /** Fewer than these are kept free at the cost of clients that have begun to send a request. */
    private static final int MIN_SPARE_SOCKETS = 8;

    private final Clock clock;
    private final SocketBudget sockets;
    private final MemoryBudget memory;
    /** Least recently used first. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    ClientConnections(Clock clock, SocketBudget sockets, MemoryBudget memory) {
        this.clock = clock;
        this.sockets = sockets;
        this.memory = memory;
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
        sockets.clientOpened();
        freeSockets();
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        sockets.clientClosed();
    }

    /** Marks the connection as the most recently used. */
    void used(ClientConnection connection) {
        connections.remove(connection);
        connections.add(connection);
    }

    List<ClientConnection> all() {
        return new ArrayList<>(connections);
    }

    int openConnections() {
        return connections.size();
    }

    /**
     * Whether clients hold more connections than they can have open requests, so that idle ones take descriptors from
     * requests. A connection is then closed after its first answer: some clients send one request and stay connected, and
     * an idle connection can be closed only after a delay. This covers every cause of many new clients at once. Silent
     * connections count, since they hold descriptors too. Clients that return soon pay for a new connection, so
     * connections that have been reused before are exempt.
     */
    boolean isCrowded() {
        return connections.size() > sockets.maxConcurrentRequests();
    }

    /** Closes connections that exceed a timeout, and idle ones when sockets run short. */
    void closeOverdue() {
        double nowMs = clock.nowMs();
        all().forEach(connection -> connection.closeIfOverdue(nowMs));
        freeSockets();
        freeMemory(nowMs);
    }

    /** Refuses requests that have stalled while they are received, when what they hold leaves no memory for others. */
    private void freeMemory(double nowMs) {
        if (!memory.isNearlyUsedUp()) {
            return;
        }
        for (ClientConnection connection : all()) {
            if (memory.isNearlyUsedUp()) {
                connection.refuseStalled(nowMs);
            }
        }
    }

    /** Closes the oldest connection of a client that has sent nothing; returns whether there was one. */
    boolean closeUnused() {
        for (ClientConnection connection : connections) {
            if (connection.closeIfUnused()) {
                return true;
            }
        }
        return false;
    }

    private void freeSockets() {
        int missing = SPARE_SOCKETS - sockets.remainingClientSockets();
        if (missing <= 0) {
            return;
        }
        double nowMs = clock.nowMs();
        for (ClientConnection connection : all()) {
            missing -= missing > 0 && connection.closeToFreeSocket(nowMs) ? 1 : 0;
        }
        refuseIncompleteRequests(nowMs);
    }

    /**
     * Ends the connections that have been sending a request for longest, when no socket is left for others. Clients may
     * have fewer requests open than they can have connections here, so some of these are not clients.
     */
    private void refuseIncompleteRequests(double nowMs) {
        int missing = MIN_SPARE_SOCKETS - sockets.remainingClientSockets();
        if (missing <= 0 || connections.size() < sockets.maxConcurrentRequests()) {
            return;
        }
        List<ClientConnection> open = all();
        missing -= (int) open.stream().filter(ClientConnection::isEnding).count();
        for (ClientConnection connection : open) {
            missing -= missing > 0 && connection.refuseIncomplete(nowMs) ? 1 : 0;
        }
    }
}
