package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run: one line for each event, with the time in milliseconds since the test began. */
final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void line(String text) {
        out.printf("%9.1f  %s%n", nowMs(), text);
    }

    /** Writes a line to the record and to standard output. */
    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
