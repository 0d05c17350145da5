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
 * The log on standard error. Lines wait in a bounded buffer for a thread of their own, so whoever logs never waits for
 * whoever reads the log. Lines for which there is no room are dropped and counted; the count is logged once the reader
 * is back.
 */
final class StandardErrorLog extends Handler {

    private static final String FORMAT_KEY = "java.util.logging.SimpleFormatter.format";
    private static final String FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";
    private static final int MOST_LINES = 1024;
    private static final long LOOK_MS = 1;

    private final OutputStream out;
    private final Formatter formatter = new SimpleFormatter();
    private final BlockingQueue<LogRecord> lines;
    /** Lines that are in the buffer or being written. */
    private final AtomicInteger pending = new AtomicInteger();

    private final AtomicLong dropped = new AtomicLong();

    StandardErrorLog(OutputStream out, int mostLines) {
        this.out = out;
        lines = new ArrayBlockingQueue<>(mostLines);
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Takes the place of the runtime's console log for all that this process logs. */
    static StandardErrorLog install() {
        if (System.getProperty(FORMAT_KEY) == null) {
            System.setProperty(FORMAT_KEY, FORMAT);
        }
        StandardErrorLog log = new StandardErrorLog(new FileOutputStream(FileDescriptor.err), MOST_LINES);
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
    public void publish(LogRecord line) {
        if (!isLoggable(line)) {
            return;
        }
        line.setSourceClassName(null); // else the formatter would look for the caller on the writer's own stack
        pending.incrementAndGet();
        if (!lines.offer(line)) {
            pending.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (true) {
                LogRecord line = lines.take();
                write(line);
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    write(new LogRecord(Level.WARNING, lost + " lines of the log were dropped: nobody read it"));
                }
                pending.decrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(LogRecord line) {
        try {
            out.write(formatter.format(line).getBytes(StandardCharsets.UTF_8));
        } catch (IOException | RuntimeException e) {
            // The line is lost, as on a full disk; there is nowhere to say so.
        }
    }

    /** Waits until all lines are out, for this long at the most. */
    void flush(long longestMs) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestMs);
        while (pending.get() > 0 && System.nanoTime() < untilNanos) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
    }

    /** Nothing: a line is written as soon as the reader lets it. */
    @Override
    public void flush() {}

    /** Nothing: the process logs up to its end. */
    @Override
    public void close() {}
}
