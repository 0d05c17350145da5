package gradehub.node;

import io.netty.channel.SingleThreadEventLoop;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * The input that the accepted channels of one event loop may read in a turn. Each may read a little in any case; otherwise
 * hundreds of peers that send much at once would make each turn take seconds, also for clients that send one request.
 */
final class TurnReadBudget {

    /** Input that is read in a turn before reads become short. */
    static final int TURN_BYTES = 64 * 1024;
    /** Size of a short read, about that of a request without a body. */
    static final int SHORT_READ_BYTES = 256;

    private static final FastThreadLocal<TurnReadBudget> CURRENT = new FastThreadLocal<>() {
        @Override
        protected TurnReadBudget initialValue() {
            return new TurnReadBudget();
        }
    };

    private final Runnable beginTurn = this::beginTurn;
    private int readBytes;

    private TurnReadBudget() {}

    /** Returns the budget of the calling event loop. */
    static TurnReadBudget current() {
        return CURRENT.get();
    }

    /** Returns the limit of the next read in this turn. */
    int nextReadBytes() {
        return Math.max(SHORT_READ_BYTES, TURN_BYTES - readBytes);
    }

    void recordRead(int bytes, SingleThreadEventLoop loop) {
        if (readBytes == 0) {
            loop.executeAfterEventLoopIteration(beginTurn);
        }
        readBytes += bytes;
    }

    private void beginTurn() {
        readBytes = 0;
    }
}
