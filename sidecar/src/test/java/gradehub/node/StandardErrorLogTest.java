package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Regression tests for report d1669c: logging must never block on a slow reader of standard error. */
class StandardErrorLogTest {

    private static final int QUEUE_CAPACITY = 4;
    private static final int LINES = 20;

    /** Blocks each write until {@link #resumed} is released. */
    private static final class StalledOutput extends OutputStream {
        private final CountDownLatch writeStarted = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);
        private final List<String> written = new ArrayList<>();

        @Override
        public void write(int single) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void write(byte[] line) throws IOException {
            writeStarted.countDown();
            try {
                resumed.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            synchronized (written) {
                written.add(new String(line, StandardCharsets.UTF_8));
            }
        }

        private String text() {
            synchronized (written) {
                return String.join("", written);
            }
        }
    }

    private static void log(StandardErrorLog log, String text) {
        log.publish(new LogRecord(Level.INFO, text));
    }

    /** With an unbounded queue, a reader that never resumes would exhaust the memory. */
    @Test
    void recordsBeyondCapacityAreDroppedAndCounted() throws Exception {
        StalledOutput out = new StalledOutput();
        StandardErrorLog log = new StandardErrorLog(out, QUEUE_CAPACITY);
        log(log, "the first line");
        out.writeStarted.await();
        for (int i = 0; i < LINES; i++) {
            log(log, "line " + i + ";");
        }
        out.resumed.countDown();
        log.flush(RawConnection.TIMEOUT_MS);
        String text = out.text();
        assertTrue(text.contains("the first line"), text);
        for (int i = 0; i < LINES; i++) {
            assertEquals(i < QUEUE_CAPACITY, text.contains("line " + i + ";"), text);
        }
        assertTrue(text.contains(LINES - QUEUE_CAPACITY + " log records were dropped"), text);
    }

    /** A blocked reader may delay the exit of the process by a few hundred milliseconds at most. */
    @Test
    void flushTimesOutWhenOutputIsBlocked() throws Exception {
        long timeoutMs = 100;
        StalledOutput out = new StalledOutput();
        StandardErrorLog log = new StandardErrorLog(out, QUEUE_CAPACITY);
        log(log, "a line");
        out.writeStarted.await();
        long startNanos = System.nanoTime();
        log.flush(timeoutMs);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        out.resumed.countDown();
        assertTrue(tookMs >= timeoutMs, "flush waited " + tookMs + " ms");
        assertTrue(tookMs < 10 * timeoutMs, "flush waited " + tookMs + " ms");
    }
}
