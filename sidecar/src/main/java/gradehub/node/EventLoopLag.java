package gradehub.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late the event loop runs. A process that is starved of processor time, or busy with one long task, reads
 * requests long after they have come. The sockets do not tell when, but a periodic task that is overdue does.
 */
final class EventLoopLag {

    /** Between two beats of a loop that is in time. A lag under one period is the ordinary scatter of timers. */
    static final long PERIOD_MS = 50;

    private static final long NEXT_TASKS_MS = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final Runnable forget = this::forget; // made once: a lambda made in the first stall would prolong it
    private double beatMs;
    /** The lag at the last beat, for as long as input that came before that beat may still lie unread. */
    private double carriedMs;

    EventLoopLag(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
        beatMs = clock.nowMs();
    }

    /** To be called each {@link #PERIOD_MS} by a task of the loop. */
    void sample() {
        carriedMs = overdueMs();
        beatMs = clock.nowMs();
        if (carriedMs > 0) {
            loop.schedule(forget, NEXT_TASKS_MS, TimeUnit.MILLISECONDS); // the loop reads its sockets before that
        }
    }

    /** How long input that is read now may have waited at the most, to within a period. */
    double lagMs() {
        double sinceBeatMs = clock.nowMs() - beatMs;
        return Math.max(overdueMs(), carriedMs > 0 ? carriedMs + sinceBeatMs : 0);
    }

    private void forget() {
        carriedMs = 0;
    }

    private double overdueMs() {
        double overdueMs = clock.nowMs() - beatMs - PERIOD_MS;
        return overdueMs < PERIOD_MS ? 0 : overdueMs;
    }
}
