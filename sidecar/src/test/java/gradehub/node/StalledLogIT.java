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

/** Report d1669c: standard error is a pipe that nobody reads, and it is full. */
class StalledLogIT {

    private static final long SEED = 1;
    private static final int REMAINING_MS = 2_000;
    private static final int REQUESTS = 20;
    /** The one that Linux gives to a pipe. */
    private static final int PIPE_BYTES = 1 << 16;
    /** SIGTERM lets what is taken end, which takes about one second where nothing is; the rest is for a busy machine. */
    private static final long STOP_MS = 4_000;

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
        discovery = StubServer.discovery(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", upstream.address(), "active")));
        pipe = openLogPipe();
        sidecar = SidecarProcess.start(
                folder, fixture.config(null).put("discovery", discovery.address()), faults.environment());
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!sidecar.isReady()) {
            assertTrue(System.nanoTime() < untilNanos, "it is not ready");
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

    /** A named pipe in the place of the sidecar's log, open at both ends, so that neither open has to wait. */
    private RandomAccessFile openLogPipe() throws Exception {
        Path log = folder.resolve("sidecar.log");
        assertEquals(0, new ProcessBuilder("mkfifo", log.toString()).start().waitFor());
        return new RandomAccessFile(log.toFile(), "rw");
    }

    /** Reads the lines that are in the pipe, and then fills it to the last byte. */
    private void stallReader() throws Exception {
        readLinesUntil("listening on");
        pipe.write(new byte[PIPE_BYTES]);
    }

    private String readLinesUntil(String text) throws Exception {
        StringBuilder read = new StringBuilder();
        while (!read.toString().contains(text) || read.charAt(read.length() - 1) != '\n') {
            read.append((char) pipe.read());
        }
        return read.toString();
    }

    private void logFailures() throws Exception {
        faults.set(Call.ACCEPT, Error.ENFILE, 100);
        try (RawConnection waiting = sidecar.client()) {
            faults.awaitInjected(Call.ACCEPT, faults.injectedCount(Call.ACCEPT) + 1, sidecar.process());
            faults.clear(Call.ACCEPT);
            waiting.send(SidecarFixture.getRequest(SidecarFixture.requestId(1), REMAINING_MS));
            waiting.setReadTimeoutMs(REMAINING_MS);
            assertEquals(200, waiting.read().status());
        }
    }

    /** A line of the log held the event loop for as long as nobody read: clients had no answer, SIGTERM no effect. */
    @Test
    void aLogThatNobodyReadsHoldsNeitherRequestsNorTheStop() throws Exception {
        stallReader();
        logFailures();
        try (RawConnection client = sidecar.client()) {
            client.setReadTimeoutMs(REMAINING_MS);
            for (int number = 2; number < 2 + REQUESTS; number++) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(number), REMAINING_MS));
                assertEquals(200, client.read().status());
            }
        }
        assertTrue(sidecar.exitsOnSigterm(STOP_MS), "SIGTERM ends it");
        assertEquals(0, sidecar.process().exitValue());
    }

    /** After SIGTERM the runtime took away the log's handlers, and what the sidecar said while it stopped was lost. */
    @Test
    void whatIsLoggedWhileItStopsComesOut() throws Exception {
        readLinesUntil("listening on");
        assertTrue(sidecar.exitsOnSigterm(RawConnection.TIMEOUT_MS), "SIGTERM ends it");
        byte[] left = new byte[PIPE_BYTES];
        pipe.write('\n'); // else a read of an empty pipe would wait
        int length = pipe.read(left);
        String lines = new String(left, 0, length, StandardCharsets.UTF_8);
        assertTrue(lines.contains("stopped"), lines);
    }

    /** Lines that were held back by a reader that has come back are not lost as long as there is room for them. */
    @Test
    void linesComeOutOnceTheReaderIsBack() throws Exception {
        stallReader();
        logFailures();
        readLinesUntil("can't accept");
    }
}
