package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a sidecar does before it listens. */
class WarmupTest {

    /** On a part of a core each request takes far longer than here; that must not make it end half compiled. */
    @Test
    void aSlowStartStillRehearsesEachRequest() throws Exception {
        assertEquals(Warmup.REQUESTS, Warmup.warmUp(1, inMs(RawConnection.TIMEOUT_MS)));
    }

    private static long inMs(long ms) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** An answer that takes for ever stands for a part of a core that is far too small. */
    @Test
    void aRehearsalEndsInTimeWhateverIsUnderWay() throws Exception {
        long startNanos = System.nanoTime();
        assertEquals(0, Warmup.warmUp(RawConnection.TIMEOUT_MS, inMs(300)));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(tookMs < RawConnection.TIMEOUT_MS / 2, "it took " + tookMs + " ms");
    }

    /** On a small part of a core the time may be over before the sidecar that rehearses is up. */
    @Test
    void aStartThatHasTakenAllTheTimeRehearsesNothing() throws Exception {
        assertEquals(0, Warmup.warmUp(0, inMs(0)));
    }

    /** Nine in ten processes have to be ready 10 s after their start, the virtual machine's own part included. */
    @Test
    void theLongerTheProcessHasRunTheLessIsRehearsed() {
        assertEquals(0, Warmup.budgetMs(9000));
        assertEquals(1000, Warmup.budgetMs(0) - Warmup.budgetMs(1000), 1e-6);
        assertTrue(Warmup.budgetMs(0) < 9000, "time is left to bind and to have a list");
    }
}
