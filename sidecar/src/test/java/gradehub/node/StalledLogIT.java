package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.node.SyscallFaults.Call;
import gradehub.node.SyscallFaults.Error;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Regression tests for report d1669c: standard error is a full pipe that nobody reads. */
class StalledLogIT {

    private static final long SEED = 1;
    private static final int REMAINING_MS = 2_000;
    private static final int REQUESTS = 20;
    /** The default capacity of a pipe on Linux. */
    private static final int PIPE_CAPACITY_BYTES = 1 << 16;
    /** After SIGTERM requests in flight complete; without any, shutdown takes about 1 s. The margin is for a busy machine. */
    private static final long SHUTDOWN_LIMIT_MS = 4_000;

    @TempDir
    private Path folder;

    private SyscallFaults faults;
    private SidecarFixture fixture;
    private StubServer upstream;
    private StubServer discovery;
    private RandomAccessFile pipe;
    private SidecarProcess sidecar;

    @BeforeEach
    void open() throws Exception {
        faults = new SyscallFaults(folder, SEED);
        fixture = new SidecarFixture();
        upstream = StubServer.upstream();
        discovery = StubServer.discovery(SidecarFixture.listOf(upstream.address()));
        pipe = openLogPipe();
        sidecar = SidecarProcess.start(
                folder, fixture.config(null).put("discovery", discovery.address()), faults.environment());
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!sidecar.isReady()) {
            assertTrue(System.nanoTime() < deadlineNanos, "sidecar is not ready");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @AfterEach
    void close() throws Exception {
        sidecar.close();
        pipe.close();
        discovery.close();
        upstream.close();
        fixture.close();
    }

    /** Creates a named pipe in place of the log file, opened for reading and writing so that no open blocks. */
    private RandomAccessFile openLogPipe() throws Exception {
        assertEquals(
                0, new ProcessBuilder("mkfifo", logPath().toString()).start().waitFor());
        return new RandomAccessFile(logPath().toFile(), "rw");
    }

    private Path logPath() {
        return folder.resolve("sidecar.log");
    }

    /**
     * Fills the pipe until a write of one byte would block. The writes themselves don't block: the sidecar may have
     * logged more lines by then, and no reader empties the pipe.
     */
    private void fillPipe() throws Exception {
        readLinesUntil("listening on");
        ProcessBuilder fill = new ProcessBuilder(
                "dd",
                "if=/dev/zero",
                "of=" + logPath(),
                "bs=1",
                "count=" + (PIPE_CAPACITY_BYTES + 1),
                "oflag=nonblock");
        fill.environment().put("LC_ALL", "C");
        Process process = fill.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor(), output);
        assertTrue(output.contains("Resource temporarily unavailable"), output);
    }

    private String readLinesUntil(String text) throws Exception {
        StringBuilder read = new StringBuilder();
        while (!read.toString().contains(text) || read.charAt(read.length() - 1) != '\n') {
            read.append((char) pipe.read());
        }
        return read.toString();
    }

    private void logAcceptFailures() throws Exception {
        faults.set(Call.ACCEPT, Error.ENFILE, 100);
        try (RawConnection client = sidecar.client()) {
            faults.awaitInjected(Call.ACCEPT, faults.injectedCount(Call.ACCEPT) + 1, sidecar.process());
            faults.clear(Call.ACCEPT);
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1), REMAINING_MS));
            client.setReadTimeoutMs(REMAINING_MS);
            assertEquals(200, client.read().status());
        }
    }

    /** Writing a log line blocked the event loop until it was read: clients got no answer and SIGTERM had no effect. */
    @Test
    void blockedLogDelaysNeitherRequestsNorShutdown() throws Exception {
        fillPipe();
        logAcceptFailures();
        try (RawConnection client = sidecar.client()) {
            client.setReadTimeoutMs(REMAINING_MS);
            for (int number = 2; number < 2 + REQUESTS; number++) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(number), REMAINING_MS));
                assertEquals(200, client.read().status());
            }
        }
        assertTrue(sidecar.exitsOnSigterm(SHUTDOWN_LIMIT_MS), "exits after SIGTERM");
        assertEquals(0, sidecar.process().exitValue());
    }

    /** After SIGTERM the JDK removed the log handlers, and what the sidecar logged during shutdown was lost. */
    @Test
    void shutdownMessagesAreWritten() throws Exception {
        readLinesUntil("listening on");
        assertTrue(sidecar.exitsOnSigterm(RawConnection.TIMEOUT_MS), "exits after SIGTERM");
        byte[] buffer = new byte[PIPE_CAPACITY_BYTES];
        pipe.write('\n'); // prevents a blocking read of an empty pipe
        int length = pipe.read(buffer);
        String lines = new String(buffer, 0, length, StandardCharsets.UTF_8);
        assertTrue(lines.contains("stopped"), lines);
    }

    /** Records within the queue's capacity are written once the reader resumes. */
    @Test
    void queuedRecordsAreWrittenAfterReaderResumes() throws Exception {
        fillPipe();
        logAcceptFailures();
        readLinesUntil("can't accept");
    }
}
