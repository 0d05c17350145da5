package gradehub.node;

import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Limits the head of a message that is being received: the number of its headers, and their memory, which counts in the
 * budget of messages from the first one on. The limit on the length of a head alone would admit thousands of tiny headers,
 * and each takes a hundred times its length on the heap.
 */
final class HeaderLimit {

    /** Thrown where the budget has no memory for a request that is being received. */
    static final class NoMemoryException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        NoMemoryException() {
            super("there is no memory for the request");
        }
    }

    /** Estimate of the memory that a header takes besides its characters. */
    static final int HEADER_OVERHEAD_BYTES = 150;

    private static final int MAX_HEADERS = 100;

    private final MemoryBudget.Reservation memory;
    private int headers;

    HeaderLimit(MemoryBudget.Reservation memory) {
        this.memory = memory;
    }

    /** Called at the start of each message. */
    void reset() {
        headers = 0;
        release();
    }

    /** Called for each header, with the length of its line, before it is stored. */
    void add(int lineBytes) {
        headers++;
        if (headers > MAX_HEADERS) {
            throw new TooLongHttpHeaderException("more than " + MAX_HEADERS + " headers");
        }
        if (!memory.tryGrow(HEADER_OVERHEAD_BYTES + lineBytes)) {
            throw new NoMemoryException();
        }
    }

    /** Called when the head is complete and counted elsewhere, or dropped. */
    void release() {
        memory.release();
    }
}
