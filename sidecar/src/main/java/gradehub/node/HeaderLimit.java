package gradehub.node;

import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Limits the number of headers of a message. The limit on the length of a head alone would admit thousands of tiny
 * headers, and each takes a hundred times its length on the heap.
 */
final class HeaderLimit {

    private static final int MAX_HEADERS = 100;

    private int headers;

    /** Called at the start of each message. */
    void reset() {
        headers = 0;
    }

    /** Called for each header, before it is stored. */
    void add() {
        headers++;
        if (headers > MAX_HEADERS) {
            throw new TooLongHttpHeaderException("more than " + MAX_HEADERS + " headers");
        }
    }
}
