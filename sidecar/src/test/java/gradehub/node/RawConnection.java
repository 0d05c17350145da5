package gradehub.node;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** One end of an HTTP/1.1 connection at byte level, so that tests can cut a message off at any point. */
final class RawConnection implements AutoCloseable {

    /** How long a test waits for an event that must occur. Only a failing test reaches it; it is no tolerance. */
    static final int TIMEOUT_MS = 60_000;

    /** The start line, the headers as received and the body of one message. */
    record Message(String startLine, String headers, String body) {

        String header(String name) {
            for (String line : headers.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private final Socket socket;
    private final InputStream in;

    RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Replaces the default read timeout. */
    void setReadTimeoutMs(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
    }

    static RawConnection connect(InetSocketAddress address) throws IOException {
        return new RawConnection(new Socket(address.getAddress(), address.getPort()));
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    RawConnection send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads the next message; throws an {@link EOFException} if the connection ends first. */
    Message read() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection ended before the end of the headers");
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.UTF_8);
        int startLineEnd = text.indexOf("\r\n");
        Message message = new Message(text.substring(0, startLineEnd), text.substring(startLineEnd + 2), "");
        String length = message.header("Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return new Message(message.startLine(), message.headers(), new String(body, StandardCharsets.UTF_8));
    }

    /** Waits until input is available, without reading it. */
    void awaitInput() throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (socket.getInputStream().available() == 0) {
            if (System.nanoTime() > deadlineNanos) {
                throw new SocketTimeoutException("no input received");
            }
            Thread.onSpinWait();
        }
    }

    /** Waits for the peer to close; returns false if it sends a byte instead. */
    boolean awaitClose() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException e) {
            return true; // connection reset by the peer
        }
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
