package gradehub.node;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A blocking HTTP/1.1 connection of a training run. It sends arbitrary text and can reset the connection. */
final class TrainingConnection implements Closeable {

    private static final int READ_TIMEOUT_MS = 20_000;

    /** An HTTP message: its start line, headers and body. */
    record Message(String firstLine, String headers, String body) {

        /** Returns the value of a header, or null if it is absent. */
        String header(String name) {
            for (String line : headers.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }

        /** Returns the status code; only valid for an answer. */
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    private final Socket socket;
    private final InputStream in;

    TrainingConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Reads the next message. Returns null at the end of the stream. */
    Message read() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.US_ASCII);
        int firstLineEnd = text.indexOf("\r\n");
        Message message = new Message(text.substring(0, firstLineEnd), text.substring(firstLineEnd + 2), "");
        String length = message.header("Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new Message(message.firstLine(), message.headers(), new String(body, StandardCharsets.US_ASCII));
    }

    /** Closes the sending direction only. */
    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
