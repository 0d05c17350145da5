package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client that sends a single request at a time and keeps its connection. */
final class Client implements AutoCloseable {

    /** How long after its time a request may still get its answer, which then earns nothing, with 50 ms for sockets. */
    static final int GRACE_MS = 550;

    enum Ending {
        /** A whole answer came. */
        ANSWERED,
        /** No whole answer came until the time of the request and the grace were over; the connection stayed open. */
        SILENT,
        /** The sidecar ended the connection without a whole answer. */
        CLOSED,
        /** The connection ended before the request was written whole. */
        NOT_SENT
    }

    /** One request; times are those of the record. */
    record Result(String txn, double sentMs, double endedMs, Ending ending, Http.Message answer) {

        boolean served() {
            return ending == Ending.ANSWERED && answer.status() == 200;
        }
    }

    private final Rig rig;
    private final String name;
    private Socket socket;
    private InputStream in;
    private boolean used;

    Client(Rig rig, String name) {
        this.rig = rig;
        this.name = name;
    }

    void connect() throws IOException {
        socket = rig.connect();
        in = Http.buffered(socket.getInputStream());
        used = false;
    }

    /**
     * Sends a request in pieces of this many bytes with a pause after each, and waits for its answer. Where the sidecar
     * has closed a connection between two requests, sends it once more on a new one.
     */
    Result ask(String request, int remainingMs, int pieceBytes, long pauseMs) throws InterruptedException {
        Result result = askOnce(request, remainingMs, pieceBytes, pauseMs);
        if (used && (result.ending() == Ending.CLOSED || result.ending() == Ending.NOT_SENT)) {
            close();
            result = askOnce(request, remainingMs, pieceBytes, pauseMs);
        }
        String answer = result.answer() == null ? "" : " " + result.answer().firstLine() + " body "
                + result.answer().body().length;
        rig.record.line("client " + name + " X-Txn " + result.txn() + " sent whole at "
                + Math.round(result.sentMs()) + ", time " + remainingMs + " ms: " + result.ending() + answer);
        if (result.ending() == Ending.ANSWERED && !"close".equals(result.answer().header("Connection"))) {
            used = true;
        } else {
            close();
        }
        return result;
    }

    private Result askOnce(String request, int remainingMs, int pieceBytes, long pauseMs) throws InterruptedException {
        String txn = request.replaceFirst("(?s).*?X-Txn: (\\S+).*", "$1");
        double sentMs = 0;
        try {
            if (socket == null) {
                connect();
            }
            byte[] bytes = request.getBytes(StandardCharsets.ISO_8859_1);
            OutputStream out = socket.getOutputStream();
            for (int at = 0; at < bytes.length; at += pieceBytes) {
                if (at > 0) {
                    Thread.sleep(pauseMs);
                }
                out.write(bytes, at, Math.min(pieceBytes, bytes.length - at));
            }
            sentMs = rig.record.nowMs();
            socket.setSoTimeout(remainingMs + GRACE_MS);
            Http.Message answer = Http.read(in);
            return new Result(
                    txn, sentMs, rig.record.nowMs(), answer == null ? Ending.CLOSED : Ending.ANSWERED, answer);
        } catch (SocketTimeoutException e) {
            return new Result(txn, sentMs, rig.record.nowMs(), Ending.SILENT, null);
        } catch (IOException e) {
            return new Result(txn, sentMs, rig.record.nowMs(), sentMs == 0 ? Ending.NOT_SENT : Ending.CLOSED, null);
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // it has ended
            }
        }
        socket = null;
    }
}
