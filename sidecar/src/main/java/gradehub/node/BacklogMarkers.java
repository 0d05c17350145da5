package gradehub.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;

/**
 * Connections of the sidecar to its own listener, which mark times in a backlog that is not empty for long. A backlog is
 * first in, first out, so that a client which is accepted after a marker has connected after that was placed. A marker is
 * closed once it has connected: it stays in the backlog, and is recognised by the address from which it came.
 */
final class BacklogMarkers {

    private static final class Marker {
        /** The address from which it connects, or null if it is not in use. */
        private SocketAddress address;

        private double placedMs;
    }

    /** Shorter than the period of the checks that place markers, so that each of them places one. */
    private static final double INTERVAL_MS = 40;
    /** Enough for the longest time that a client waits for an answer. */
    private static final int MAX_MARKERS = 64;

    private final Marker[] markers = new Marker[MAX_MARKERS];
    private final RateLimitedLog failureLog = new RateLimitedLog();
    private double lastPlacedMs;
    /** The connection of the latest marker while it may not be established, or null. */
    private SocketChannel connecting;

    BacklogMarkers() {
        for (int i = 0; i < markers.length; i++) {
            markers[i] = new Marker();
        }
    }

    /** Places a marker unless the last one is recent, or still connecting, or there are too many. */
    void place(InetSocketAddress listener, double nowMs) {
        try {
            if (!isConnected() || nowMs - lastPlacedMs < INTERVAL_MS) {
                return;
            }
            Marker free = unused();
            if (free != null) {
                lastPlacedMs = nowMs;
                free.address = connect(listener);
                free.placedMs = nowMs;
            }
        } catch (IOException e) {
            failureLog.warn("can't mark the time in the backlog: " + e.getMessage());
            closeConnecting();
        }
    }

    /** Whether no marker is being connected; closes the connection of one that has just been connected. */
    private boolean isConnected() throws IOException {
        if (connecting != null && connecting.finishConnect()) {
            closeConnecting();
        }
        return connecting == null;
    }

    private Marker unused() {
        for (Marker marker : markers) {
            if (marker.address == null) {
                return marker;
            }
        }
        return null;
    }

    private SocketAddress connect(InetSocketAddress listener) throws IOException {
        InetAddress host = listener.getAddress();
        host = host.isAnyLocalAddress() ? InetAddress.getLoopbackAddress() : host;
        connecting = SocketChannel.open();
        connecting.configureBlocking(false);
        connecting.bind(new InetSocketAddress(host, 0));
        connecting.connect(new InetSocketAddress(host, listener.getPort()));
        return connecting.getLocalAddress();
    }

    private void closeConnecting() {
        try {
            if (connecting != null) {
                connecting.close();
            }
        } catch (IOException e) {
            // Nothing has been sent on it.
        }
        connecting = null;
    }

    /** If an accepted connection is a marker, returns when that was placed, and removes it; otherwise returns 0. */
    double remove(SocketChannel accepted) throws IOException {
        for (Marker marker : markers) {
            if (marker.address != null && marker.address.equals(accepted.getRemoteAddress())) {
                removeUntil(marker.placedMs);
                return marker.placedMs;
            }
        }
        return 0;
    }

    /** Removes the markers placed up to this time: all of them have been accepted, or never reached the backlog. */
    private void removeUntil(double timeMs) {
        for (Marker marker : markers) {
            if (marker.placedMs <= timeMs) {
                marker.address = null;
            }
        }
    }

    /** Removes all markers. */
    void clear() {
        removeUntil(Double.MAX_VALUE);
        closeConnecting();
    }
}
