package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Controls {@code syscall_faults.c}: which system calls of a process fail, at what rate and with which error. */
final class SyscallFaults {

    /** In the order of the library's table; {@code READ} and {@code WRITE} cover sockets only. */
    enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        BIND,
        LISTEN,
        READ,
        WRITE,
        EPOLL_WAIT,
        EPOLL_CTL,
        SETSOCKOPT,
        FCNTL,
        OPEN_CONFIG,
        CLOSE,
        LOG
    }

    /** The errno values of Linux. */
    enum Error {
        SHORT_TRANSFER(-1),
        EINTR(4),
        EIO(5),
        EAGAIN(11),
        ENOMEM(12),
        EINVAL(22),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EADDRINUSE(98),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int errno;

        Error(int errno) {
            this.errno = errno;
        }
    }

    private static final Path SOURCE = Path.of("src/test/c/syscall_faults.c");
    private static final int SEED_BYTES = Long.BYTES;
    private static final int RULE_BYTES = 4 * Integer.BYTES;
    private static final int ERROR_OFFSET = 0;
    private static final int PERCENT_OFFSET = Integer.BYTES;
    private static final int INJECTED_OFFSET = 2 * Integer.BYTES;

    private final Path library;
    private final Path file;
    private final MappedByteBuffer table;

    /** Creates a table without faults, with its files in this folder. */
    SyscallFaults(Path folder, long seed) throws IOException, InterruptedException {
        library = compile(folder);
        file = folder.resolve("syscall-faults.table");
        Files.write(file, new byte[SEED_BYTES + Call.values().length * RULE_BYTES]);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            table = channel.map(FileChannel.MapMode.READ_WRITE, 0, channel.size());
        }
        table.order(ByteOrder.nativeOrder());
        table.putLong(0, seed);
    }

    private static Path compile(Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve("syscall_faults.so").toAbsolutePath();
        Process compiler = new ProcessBuilder(
                        "cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", library.toString(), SOURCE.toString(), "-ldl")
                .inheritIO()
                .start();
        assertEquals(0, compiler.waitFor(), "the compiler failed on " + SOURCE);
        return library;
    }

    /** The environment variables that apply this table to a process. */
    Map<String, String> environment() {
        return Map.of(
                "LD_PRELOAD", library.toString(),
                "SYSCALL_FAULTS", file.toAbsolutePath().toString());
    }

    /** Makes this percentage of the calls fail with this error from now on. */
    void set(Call call, Error error, int percent) {
        table.putInt(ruleOffset(call) + ERROR_OFFSET, error.errno);
        table.putInt(ruleOffset(call) + PERCENT_OFFSET, percent);
    }

    /** Stops injecting faults into this call. */
    void clear(Call call) {
        table.putInt(ruleOffset(call) + PERCENT_OFFSET, 0);
    }

    /** Returns how many faults have been injected into this call. */
    int injectedCount(Call call) {
        return table.getInt(ruleOffset(call) + INJECTED_OFFSET);
    }

    /** Waits until this many faults have been injected, while the process is alive. */
    void awaitInjected(Call call, int count, Process process) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (injectedCount(call) < count) {
            assertTrue(
                    process.isAlive(), () -> "the process ended after " + injectedCount(call) + " failures of " + call);
            assertTrue(System.nanoTime() < deadlineNanos, () -> injectedCount(call) + " failures of " + call);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static int ruleOffset(Call call) {
        return SEED_BYTES + call.ordinal() * RULE_BYTES;
    }
}
