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

/** The test's side of {@code syscall_faults.c}: which system calls of a process fail, how often and with what error. */
final class SyscallFaults {

    /** In the order of the library's table; {@code READ} and {@code WRITE} are those on sockets. */
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

    /** The numbers that Linux gives to errors. */
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

        private final int number;

        Error(int number) {
            this.number = number;
        }
    }

    private static final Path SOURCE = Path.of("src/test/c/syscall_faults.c");
    private static final int SEED_BYTES = Long.BYTES;
    private static final int RULE_BYTES = 4 * Integer.BYTES;
    private static final int ERROR_AT = 0;
    private static final int PERCENT_AT = Integer.BYTES;
    private static final int INJECTED_AT = 2 * Integer.BYTES;

    private final Path library;
    private final Path file;
    private final MappedByteBuffer table;

    /** A table under which nothing fails yet; its files are in this folder. */
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
        assertEquals(0, compiler.waitFor(), "the library compiles");
        return library;
    }

    /** What a process needs in its environment to be under this table. */
    Map<String, String> environment() {
        return Map.of(
                "LD_PRELOAD", library.toString(),
                "SYSCALL_FAULTS", file.toAbsolutePath().toString());
    }

    /** From now on so many of a hundred calls fail like this. */
    void set(Call call, Error error, int percent) {
        table.putInt(at(call) + ERROR_AT, error.number);
        table.putInt(at(call) + PERCENT_AT, percent);
    }

    /** From now on this call does not fail. */
    void clear(Call call) {
        table.putInt(at(call) + PERCENT_AT, 0);
    }

    /** How many calls have failed. */
    int injectedCount(Call call) {
        return table.getInt(at(call) + INJECTED_AT);
    }

    /** Waits until so many calls have failed in a process that is still there. */
    void awaitInjected(Call call, int count, Process process) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (injectedCount(call) < count) {
            assertTrue(
                    process.isAlive(), () -> "the process ended after " + injectedCount(call) + " failures of " + call);
            assertTrue(System.nanoTime() < untilNanos, () -> injectedCount(call) + " failures of " + call);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static int at(Call call) {
        return SEED_BYTES + call.ordinal() * RULE_BYTES;
    }
}
