package gradehub.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late the event loop runs. A process that is starved of processor time, or busy with one long task, reads
 * requests long after they arrived. Sockets do not report arrival times, but an overdue periodic task shows the delay.
 */
final class EventLoopLag {

    /** Interval between samples of a loop without lag. A lag under one period is normal timer jitter. */
    static final long PERIOD_MS = 50;

    private static final long CLEAR_DELAY_MS = 1;

    private final EventLoop loop;
    private final Clock clock;
    /** Created once: creating a lambda in the first stall would prolong it. */
    private final Runnable clearCarriedLag = this::clearCarriedLag;

    private double sampledAtMs;
    /** The lag at the last sample, kept while input that arrived before that sample may still be unread. */
    private double carriedLagMs;

    EventLoopLag(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        sampledAtMs = clock.nowMs();
    }

    /** Called every {@link #PERIOD_MS} by a task of the loop. */
    void sample() {
        carriedLagMs = overdueMs();
        sampledAtMs = clock.nowMs();
        if (carriedLagMs > 0) {
            loop.schedule(clearCarriedLag, CLEAR_DELAY_MS, TimeUnit.MILLISECONDS); // the loop reads its sockets first
        }
    }

    /** Upper bound on how long input that is read now may have waited, to within one period. */
    double lagMs() {
        double sinceSampleMs = clock.nowMs() - sampledAtMs;
        return Math.max(overdueMs(), carriedLagMs > 0 ? carriedLagMs + sinceSampleMs : 0);
    }

    private void clearCarriedLag() {
        carriedLagMs = 0;
    }

    private double overdueMs() {
        double overdueMs = clock.nowMs() - sampledAtMs - PERIOD_MS;
        return overdueMs < PERIOD_MS ? 0 : overdueMs;
    }
}
