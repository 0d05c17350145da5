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

/** Report d1669c: whoever logs must never wait for whoever reads the log. */
class StandardErrorLogTest {

    private static final int ROOM = 4;
    private static final int LINES = 20;

    /** Takes nothing until its reader is back. */
    private static final class StalledOutput extends OutputStream {
        private final CountDownLatch begun = new CountDownLatch(1);
        private final CountDownLatch back = new CountDownLatch(1);
        private final List<String> written = new ArrayList<>();

        @Override
        public void write(int single) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void write(byte[] line) throws IOException {
            begun.countDown();
            try {
                back.await();
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

    /** Without a bound on the buffer, a reader that never comes back would take all memory. */
    @Test
    void linesForWhichThereIsNoRoomAreDroppedAndCounted() throws Exception {
        StalledOutput out = new StalledOutput();
        StandardErrorLog log = new StandardErrorLog(out, ROOM);
        log(log, "the first line");
        out.begun.await();
        for (int i = 0; i < LINES; i++) {
            log(log, "line " + i + ";");
        }
        out.back.countDown();
        log.flush(RawConnection.TIMEOUT_MS);
        String text = out.text();
        assertTrue(text.contains("the first line"), text);
        for (int i = 0; i < LINES; i++) {
            assertEquals(i < ROOM, text.contains("line " + i + ";"), text);
        }
        assertTrue(text.contains(LINES - ROOM + " lines of the log were dropped"), text);
    }

    /** A reader that does not read may delay the end of the process by a few hundred milliseconds. */
    @Test
    void theEndDoesNotWaitLongForAReaderThatDoesNotRead() throws Exception {
        long longestMs = 100;
        StalledOutput out = new StalledOutput();
        StandardErrorLog log = new StandardErrorLog(out, ROOM);
        log(log, "a line");
        out.begun.await();
        long beginNanos = System.nanoTime();
        log.flush(longestMs);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
        out.back.countDown();
        assertTrue(tookMs >= longestMs, "it waited " + tookMs + " ms");
        assertTrue(tookMs < 10 * longestMs, "it waited " + tookMs + " ms");
    }
}
