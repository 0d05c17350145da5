package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server of the fleet: serves each request once its last byte has arrived. */
final class Upstream implements AutoCloseable {

    /** What a server does with a request that it has read whole. */
    interface Service {
        /** Returns the answer, or null to close the connection without one. */
        byte[] serve(Upstream upstream, Http.Message request) throws InterruptedException;
    }

    /** A request that arrived whole. */
    record Arrival(double atMs, Upstream upstream, Http.Message request) {}

    final String id;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final Record record;
    private final Service service;
    private final ServerSocket listener;

    Upstream(String id, Record record, Service service) throws IOException {
        this.id = id;
        this.record = record;
        this.service = service;
        listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        Rig.thread("upstream " + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Rig.thread("connection to " + id, () -> serve(socket));
            }
        } catch (IOException e) {
            // closed at the end of the test
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String txn = request.header("X-Txn");
                if (txn == null) {
                    out.write(answer("404 Not Found", "", ""));
                    continue;
                }
                arrivals.add(new Arrival(record.nowMs(), this, request));
                record.line("server " + id + " got " + request.firstLine() + " X-Txn " + txn + " X-Remaining-Ms "
                        + request.header("X-Remaining-Ms") + " key " + request.header("Idempotency-Key") + " body "
                        + request.body().length);
                byte[] answer = service.serve(this, request);
                if (answer == null) {
                    return;
                }
                out.write(answer);
            }
        } catch (IOException e) {
            // the sidecar gave the attempt up, or the test has ended
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static byte[] answer(String status, String headers, String body) {
        return ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Answers 200 with the request's identifier after a delay. */
    static Service serving(long delayMs) {
        return (upstream, request) -> {
            Thread.sleep(delayMs);
            return answer("200 OK", "", "served " + request.header("X-Txn"));
        };
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
