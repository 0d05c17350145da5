package gradehub.node;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** An upstream or discovery on loopback that answers each request automatically, on its own threads. */
final class StubServer implements AutoCloseable {

    private final ServerSocket listener;
    /** Returns the answer to a request, or null to close the connection without one. */
    private final Function<RawConnection.Message, String> responder;

    private final List<Socket> connections = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();

    private StubServer(Function<RawConnection.Message, String> responder) throws IOException {
        this.listener = new ServerSocket(0, 50, RawConnection.loopback());
        this.responder = responder;
        startThread(this::accept);
    }

    /** Creates a server that answers each request with its identifier. */
    static StubServer upstream() throws IOException {
        return new StubServer(request -> SidecarFixture.answer("200 OK", request.header("X-Txn")));
    }

    /** Creates a server with these answers. */
    static StubServer answering(Function<RawConnection.Message, String> responder) throws IOException {
        return new StubServer(responder);
    }

    /** Creates a server that answers nothing and closes the connection this long after a request. */
    static StubServer hanging(long closeAfterMs) throws IOException {
        CountDownLatch neverReleased = new CountDownLatch(1);
        return new StubServer(request -> {
            try {
                neverReleased.await(closeAfterMs, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return null;
        });
    }

    /** Creates a server that sends this list to each watch, and no changes after it. */
    static StubServer discovery(String list) throws IOException {
        return new StubServer(request -> SidecarFixture.watchAnswer(list));
    }

    String address() {
        return SidecarFixture.address(listener);
    }

    int requestCount() {
        return requests.get();
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                synchronized (connections) {
                    connections.add(socket);
                }
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (RawConnection connection = new RawConnection(socket)) {
            while (true) {
                RawConnection.Message request = connection.read();
                requests.incrementAndGet();
                String answer = responder.apply(request);
                if (answer == null) {
                    return;
                }
                connection.send(answer);
            }
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (connections) {
            for (Socket socket : connections) {
                socket.close();
            }
        }
    }
}
