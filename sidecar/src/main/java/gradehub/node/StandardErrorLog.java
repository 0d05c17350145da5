package gradehub.node;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * An asynchronous log handler for standard error. Records go through a bounded queue to a writer thread, so a thread
 * that logs never blocks on a slow reader of standard error. When the queue is full, records are dropped and counted;
 * the count is logged once the reader has resumed.
 */
final class StandardErrorLog extends Handler {

    private static final String FORMAT_KEY = "java.util.logging.SimpleFormatter.format";
    private static final String FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";
    private static final int QUEUE_CAPACITY = 1024;
    private static final long POLL_INTERVAL_MS = 1;

    private final OutputStream out;
    private final Formatter formatter = new SimpleFormatter();
    private final BlockingQueue<LogRecord> queue;
    /** Records that are queued or being written. */
    private final AtomicInteger pending = new AtomicInteger();

    private final AtomicLong dropped = new AtomicLong();

    StandardErrorLog(OutputStream out, int capacity) {
        this.out = out;
        queue = new ArrayBlockingQueue<>(capacity);
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Replaces the JDK's console handler on the root logger. */
    static StandardErrorLog install() {
        if (System.getProperty(FORMAT_KEY) == null) {
            System.setProperty(FORMAT_KEY, FORMAT);
        }
        StandardErrorLog log = new StandardErrorLog(new FileOutputStream(FileDescriptor.err), QUEUE_CAPACITY);
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            if (handler instanceof ConsoleHandler) {
                root.removeHandler(handler);
            }
        }
        root.addHandler(log);
        NonResettingLogManager.disableReset();
        return log;
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!isLoggable(logRecord)) {
            return;
        }
        logRecord.setSourceClassName(null); // prevents caller inference, which would inspect the writer thread's stack
        pending.incrementAndGet();
        if (!queue.offer(logRecord)) {
            pending.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (true) {
                LogRecord logRecord = queue.take();
                write(logRecord);
                long droppedCount = dropped.getAndSet(0);
                if (droppedCount > 0) {
                    write(new LogRecord(
                            Level.WARNING,
                            droppedCount + " log records were dropped because standard error was not read"));
                }
                pending.decrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(LogRecord logRecord) {
        try {
            out.write(formatter.format(logRecord).getBytes(StandardCharsets.UTF_8));
        } catch (IOException | RuntimeException e) {
            // The write failed, for example on a full disk; there is nowhere left to report it.
        }
    }

    /** Waits until all records are written, or until the timeout. */
    void flush(long timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (pending.get() > 0 && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Does nothing: the writer thread writes each record as soon as possible. */
    @Override
    public void flush() {}

    /** Does nothing: the process logs until it exits. */
    @Override
    public void close() {}
}
