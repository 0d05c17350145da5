package gradehub.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/** A peer that makes the sidecar hold as much memory as one connection can, again and again until it is stopped. */
final class DemandingPeer implements Runnable {

    /** What a peer sends and does not send, or does not read. */
    enum Shape {
        /** Stops half way through a large request. */
        HALF_REQUEST,
        /** Writes a large request slowly, and reads its answer. */
        SLOW_REQUEST,
        /** Stops in a head with as many fields as are allowed, all very short. */
        SHORT_FIELDS,
        /** Stops in the body behind such a head. */
        SHORT_FIELDS_AND_BODY,
        /** Stops in a head just under the limit of its length. */
        LONG_HEAD,
        /** Sends a large request in chunks of one byte. */
        TINY_CHUNKS,
        /** Asks for large answers and reads none. */
        UNREAD_ANSWERS,
        /** Sends large requests without waiting for the answers. */
        PIPELINED_REQUESTS
    }

    static final int BODY_BYTES = 64 * 1024;

    private static final int FIELDS = 90;
    private static final int LONG_FIELD_BYTES = 75;
    private static final int PIECE_BYTES = 1024;
    private static final int PIECE_PAUSE_MS = 25;
    private static final int PIPELINED = 4;
    private static final int RECEIVE_BUFFER_BYTES = 4096;
    /** Longer than the sidecar waits for a request. */
    private static final int HOLD_MS = 3000;
    /** Pause after the sidecar has ended a connection: each leaves a port in TIME_WAIT, and a machine has 28,000. */
    private static final int RECONNECT_PAUSE_MS = Integer.getInteger("memory.reconnectMs", 500);

    private final SidecarProcess sidecar;
    private final Shape shape;
    private final Supplier<String> requestIds;
    private final AtomicBoolean stopped;

    DemandingPeer(SidecarProcess sidecar, Shape shape, Supplier<String> requestIds, AtomicBoolean stopped) {
        this.sidecar = sidecar;
        this.shape = shape;
        this.requestIds = requestIds;
        this.stopped = stopped;
    }

    @Override
    public void run() {
        while (!stopped.get()) {
            try (Socket socket = sidecar.socket()) {
                socket.setSoTimeout(HOLD_MS);
                socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
                send(socket.getOutputStream());
                hold(socket.getInputStream());
            } catch (IOException e) {
                // The sidecar has ended the connection, or has none left.
            }
            pause(RECONNECT_PAUSE_MS);
        }
    }

    private static void pause(int ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the sidecar ends the connection or answers, or for as long as a peer holds it. */
    private void hold(InputStream in) throws IOException {
        if (shape == Shape.UNREAD_ANSWERS || shape == Shape.PIPELINED_REQUESTS) {
            pause(HOLD_MS);
        } else {
            in.read();
        }
    }

    private void send(OutputStream out) throws IOException {
        switch (shape) {
            case HALF_REQUEST -> out.write(bytes(postHead("") + "b".repeat(BODY_BYTES / 2 + PIECE_BYTES)));
            case SLOW_REQUEST -> sendSlowly(out);
            case SHORT_FIELDS -> out.write(bytes(unfinishedPostHead() + "a:\r\n".repeat(FIELDS)));
            case SHORT_FIELDS_AND_BODY ->
                out.write(bytes(postHead("a:\r\n".repeat(FIELDS)) + "b".repeat(BODY_BYTES - 1)));
            case LONG_HEAD ->
                out.write(bytes(unfinishedPostHead() + ("a:" + "v".repeat(LONG_FIELD_BYTES) + "\r\n").repeat(FIELDS)));
            case TINY_CHUNKS -> out.write(bytes(chunkedHead() + "1\r\nb\r\n".repeat(BODY_BYTES - 1)));
            case UNREAD_ANSWERS -> out.write(bytes(largeAnswerRequests()));
            case PIPELINED_REQUESTS -> {
                for (int i = 0; i < PIPELINED; i++) {
                    out.write(bytes(postHead("") + "b".repeat(BODY_BYTES)));
                }
            }
        }
    }

    private void sendSlowly(OutputStream out) throws IOException {
        out.write(bytes(postHead("")));
        for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
            out.write(bytes("b".repeat(PIECE_BYTES)));
            pause(PIECE_PAUSE_MS);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private String largeAnswerRequests() {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < PIPELINED; i++) {
            requests.append(SidecarFixture.getRequest(requestIds.get()).replace("?y=1", "?" + SidecarProcess.LARGE));
        }
        return requests.toString();
    }

    private String unfinishedPostHead() {
        String head = SidecarFixture.postRequest(requestIds.get(), "");
        return head.substring(0, head.length() - "\r\n".length());
    }

    private String postHead(String fields) {
        return unfinishedPostHead().replace("Content-Length: 0", "Content-Length: " + BODY_BYTES) + fields + "\r\n";
    }

    private String chunkedHead() {
        return unfinishedPostHead().replace("Content-Length: 0", "Transfer-Encoding: chunked") + "\r\n";
    }
}
