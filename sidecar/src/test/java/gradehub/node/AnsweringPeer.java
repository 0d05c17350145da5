package gradehub.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** An upstream or discovery on loopback that answers each request by itself, on threads of its own. */
final class AnsweringPeer implements AutoCloseable {

    private final ServerSocket listener;
    private final Function<Wire.Message, String> answers;
    private final List<Socket> open = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();

    private AnsweringPeer(Function<Wire.Message, String> answers) throws IOException {
        this.listener = new ServerSocket(0, 50, Wire.loopback());
        this.answers = answers;
        start(this::accept);
    }

    /** One that answers each request with its identifier. */
    static AnsweringPeer upstream() throws IOException {
        return new AnsweringPeer(request -> Rig.answer("200 OK", request.header("X-Txn")));
    }

    /** One that tells each watch this list and then nothing more. */
    static AnsweringPeer discovery(String list) throws IOException {
        return new AnsweringPeer(request -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Rig.chunk(list));
    }

    String address() {
        return Rig.address(listener);
    }

    int requests() {
        return requests.get();
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                synchronized (open) {
                    open.add(socket);
                }
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // It has been closed.
        }
    }

    private void serve(Socket socket) {
        try (Wire wire = new Wire(socket)) {
            while (true) {
                Wire.Message request = wire.read();
                requests.incrementAndGet();
                wire.send(answers.apply(request));
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (open) {
            for (Socket socket : open) {
                socket.close();
            }
        }
    }
}
