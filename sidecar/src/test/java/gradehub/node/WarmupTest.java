package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The warm-up that a sidecar runs before it listens. */
class WarmupTest {

    /** On a fraction of a core each request takes far longer than here; the warm-up must still send all requests. */
    @Test
    void slowUpstreamDoesNotShortenWarmUp() throws Exception {
        assertEquals(Warmup.REQUESTS, Warmup.warmUp(1, deadlineIn(RawConnection.TIMEOUT_MS)));
    }

    private static long deadlineIn(long ms) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** An upstream that does not answer in time stands for a far too small fraction of a core. */
    @Test
    void warmUpEndsAtDeadlineWithRequestInFlight() throws Exception {
        long startNanos = System.nanoTime();
        assertEquals(0, Warmup.warmUp(RawConnection.TIMEOUT_MS, deadlineIn(300)));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(tookMs < RawConnection.TIMEOUT_MS / 2, "warm-up took " + tookMs + " ms");
    }

    /** On a small fraction of a core the deadline may pass before the temporary sidecar has started. */
    @Test
    void expiredDeadlineSkipsWarmUp() throws Exception {
        assertEquals(0, Warmup.warmUp(0, deadlineIn(0)));
    }

    /** Nine in ten processes must be ready within 10 s of their start, which includes the start of the JVM. */
    @Test
    void uptimeReducesBudget() {
        assertEquals(0, Warmup.budgetMs(9000));
        assertEquals(1000, Warmup.budgetMs(0) - Warmup.budgetMs(1000), 1e-6);
        assertTrue(Warmup.budgetMs(0) < 9000, "time remains to load the list and bind the listener");
    }
}
