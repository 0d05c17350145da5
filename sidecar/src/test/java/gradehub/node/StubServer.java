package gradehub.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** An upstream or discovery on loopback that answers each request by itself, on threads of its own. */
final class StubServer implements AutoCloseable {

    private final ServerSocket listener;
    private final Function<RawConnection.Message, String> answers;
    private final List<Socket> open = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();

    private StubServer(Function<RawConnection.Message, String> answers) throws IOException {
        this.listener = new ServerSocket(0, 50, RawConnection.loopback());
        this.answers = answers;
        start(this::accept);
    }

    /** One that answers each request with its identifier. */
    static StubServer upstream() throws IOException {
        return new StubServer(request -> SidecarFixture.answer("200 OK", request.header("X-Txn")));
    }

    /** One that tells each watch this list and then nothing more. */
    static StubServer discovery(String list) throws IOException {
        return new StubServer(
                request -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SidecarFixture.chunk(list));
    }

    String address() {
        return SidecarFixture.address(listener);
    }

    int requestCount() {
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
        try (RawConnection wire = new RawConnection(socket)) {
            while (true) {
                RawConnection.Message request = wire.read();
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
