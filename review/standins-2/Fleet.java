import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/** Many upstreams on one thread, each with a listener of its own. Each answers a request after a fixed work time. */
final class Fleet implements AutoCloseable {

    interface Listener {
        /** A request has arrived whole at this upstream; its first byte came at {@code firstByteMs}. */
        void arrived(int upstream, String id, double firstByteMs);
    }

    private static final int BUFFER_BYTES = 8192;

    private final class Connection {
        private final int upstream;
        private final SocketChannel channel;
        private final ByteBuffer input = ByteBuffer.allocate(BUFFER_BYTES);
        private double firstByteMs;

        private Connection(int upstream, SocketChannel channel) {
            this.upstream = upstream;
            this.channel = channel;
        }

        private void read() throws IOException {
            boolean fresh = input.position() == 0;
            int bytes = channel.read(input);
            if (bytes < 0) {
                channel.close();
                return;
            }
            if (fresh && bytes > 0) {
                firstByteMs = rig.nowMs();
            }
            String text = new String(input.array(), 0, input.position(), StandardCharsets.ISO_8859_1);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return;
            }
            String length = Rig.header(text.substring(0, headEnd), "Content-Length");
            int end = headEnd + 4 + (length == null ? 0 : Integer.parseInt(length));
            if (input.position() < end) {
                return;
            }
            input.clear();
            String id = Rig.header(text.substring(0, headEnd), "X-Txn");
            if (id == null) {
                channel.close(); // not from this case's sidecar
                return;
            }
            listener.arrived(upstream, id, firstByteMs);
            answers.add(new Answer(rig.nowMs() + workMs, this, Rig.ok(id)));
        }
    }

    private record Answer(double dueMs, Connection connection, byte[] bytes) {}

    private final Rig rig;
    private final double workMs;
    private final Listener listener;
    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final PriorityQueue<Answer> answers =
            new PriorityQueue<>((a, b) -> Double.compare(a.dueMs, b.dueMs));

    Fleet(Rig rig, int size, double workMs, Listener listener) throws IOException {
        this.rig = rig;
        this.workMs = workMs;
        this.listener = listener;
        for (int i = 0; i < size; i++) {
            ServerSocketChannel socket = ServerSocketChannel.open();
            socket.bind(new InetSocketAddress(InetAddress.getByName(Rig.HOST), 0), 64);
            socket.configureBlocking(false);
            socket.register(selector, SelectionKey.OP_ACCEPT, i);
            listeners.add(socket);
        }
        Rig.start(this::serve);
    }

    String address(int upstream) {
        return Rig.HOST + ":" + listeners.get(upstream).socket().getLocalPort();
    }

    private void serve() {
        try {
            while (selector.isOpen()) {
                Answer next = answers.peek();
                selector.select(next == null ? 100 : (long) Math.max(1, next.dueMs - rig.nowMs()));
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    handle(key);
                }
                while (!answers.isEmpty() && answers.peek().dueMs <= rig.nowMs()) {
                    send(answers.poll());
                }
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            // The case has ended.
        }
    }

    private void handle(SelectionKey key) {
        try {
            if (key.channel() instanceof ServerSocketChannel socket) {
                SocketChannel channel = socket.accept();
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                channel.register(selector, SelectionKey.OP_READ, new Connection((Integer) key.attachment(), channel));
            } else {
                ((Connection) key.attachment()).read();
            }
        } catch (IOException e) {
            key.cancel();
            try {
                key.channel().close();
            } catch (IOException ignored) {
                // It is closed.
            }
        }
    }

    private static void send(Answer answer) {
        try {
            answer.connection.channel.write(ByteBuffer.wrap(answer.bytes));
        } catch (IOException e) {
            // The sidecar has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (ServerSocketChannel socket : listeners) {
            socket.close();
        }
    }
}
