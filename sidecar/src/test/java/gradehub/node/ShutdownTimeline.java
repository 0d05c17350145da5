package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** The moments of a shutdown that begins now, as the platform counts them from SIGTERM. */
final class ShutdownTimeline {

    /** Longer deadlines count as this. */
    private static final int MAX_DEADLINE_MS = 3000;

    private static final int KILL_DELAY_MS = 700;
    /** Requests that arrive later than this are owed an answer before SIGKILL. */
    private static final int LATE_MS = 750;

    private static final int BYTE_EVERY_MS = 10;

    private final long startNanos = System.nanoTime();
    private final int killMs;

    ShutdownTimeline(int longestDeadlineMs) {
        killMs = Math.min(longestDeadlineMs, MAX_DEADLINE_MS) + KILL_DELAY_MS;
    }

    private long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Sends a request a byte at a time, and its rest when it counts as late. */
    void sendLate(RawConnection client, String request) throws IOException, InterruptedException {
        int sent = 0;
        while (elapsedMs() <= LATE_MS) {
            client.send(request.substring(sent, ++sent));
            TimeUnit.MILLISECONDS.sleep(BYTE_EVERY_MS);
        }
        client.send(request.substring(sent));
    }

    void assertAnsweredBeforeKill(RawConnection client) throws IOException {
        client.setReadTimeoutMs((int) Math.max(1, killMs - elapsedMs()));
        int status = client.read().status();
        assertTrue(elapsedMs() < killMs, "status " + status + " after " + elapsedMs() + " ms");
    }
}
