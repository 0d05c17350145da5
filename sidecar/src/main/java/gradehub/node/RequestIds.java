package gradehub.node;

import gradehub.node.ClientRequest.RejectedException;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The identifiers of open requests, and of recent ones that may have run and must not run again. Clients use a new
 * identifier for each request, also for a retry, so that one which comes again is the same request.
 */
final class RequestIds {

    /** Another request has the identifier. */
    static final class IdentifierInUseException extends RejectedException {

        private static final long serialVersionUID = 1L;

        /** Whether the other request is still open; if not, it may have run. */
        final boolean open;

        IdentifierInUseException(boolean open) {
            super(
                    HttpResponseStatus.CONFLICT,
                    open ? "a request of this identifier is open" : "a request of this identifier may have run");
            this.open = open;
        }
    }

    /** An open request. */
    interface Holder {
        /** Ends the request if its client has left. */
        void endIfClientLeft();
    }

    /** How long an identifier is remembered after its request has ended, as far as there is room for it. */
    static final double RETENTION_MS = 60_000;

    /** Limit of remembered identifiers, at some 150 bytes each; the oldest are dropped first. */
    private static final int MAX_REMEMBERED = 16_384;

    private final Map<String, Holder> open = new HashMap<>();
    /** The time at which each request that must not run again ended, the oldest first. */
    private final Map<String, Double> endedMs = new LinkedHashMap<>();

    /** Opens a request, unless another one of its identifier is open or may have run. */
    void open(String id, Holder holder, double nowMs) throws RejectedException {
        Holder earlier = open.get(id);
        if (earlier != null) {
            earlier.endIfClientLeft();
        }
        if (open.containsKey(id)) {
            // With two open requests of one identifier, neither client could tell which answer is its own.
            throw new IdentifierInUseException(true);
        }
        dropOldest(nowMs);
        if (endedMs.containsKey(id)) {
            throw new IdentifierInUseException(false);
        }
        open.put(id, holder);
    }

    /** Closes a request; {@code mustNotRepeat} says that it may have run, or may yet, and must not run again. */
    void close(String id, boolean mustNotRepeat, double nowMs) {
        open.remove(id);
        if (mustNotRepeat) {
            endedMs.put(id, nowMs);
            dropOldest(nowMs);
        }
    }

    private void dropOldest(double nowMs) {
        Iterator<Double> oldest = endedMs.values().iterator();
        while (oldest.hasNext() && (nowMs - oldest.next() > RETENTION_MS || endedMs.size() > MAX_REMEMBERED)) {
            oldest.remove();
        }
    }
}
