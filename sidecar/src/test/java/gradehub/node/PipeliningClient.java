package gradehub.node;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** A client that sends requests without waiting for answers and may leave while they are unread. */
final class PipeliningClient implements AutoCloseable {

    /** How a client ends its connection. */
    enum Leaving {
        CLOSE,
        RESET
    }

    private final SocketChannel channel;

    PipeliningClient(SocketAddress sidecar) throws IOException {
        channel = SocketChannel.open(sidecar);
    }

    void send(String request) throws IOException {
        channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
    }

    /** Sends as many of these requests as the buffers of both ends take, which is more than the sidecar reads ahead. */
    void fillBuffers(Supplier<String> requests) throws IOException {
        sendUntilFull(Integer.MAX_VALUE, requests);
    }

    /** Sends up to {@code count} requests, as far as the buffers of both ends take them. */
    void sendUntilFull(int count, Supplier<String> requests) throws IOException {
        channel.configureBlocking(false);
        boolean full = false;
        for (int i = 0; i < count && !full; i++) {
            ByteBuffer request = ByteBuffer.wrap(requests.get().getBytes(StandardCharsets.US_ASCII));
            channel.write(request);
            full = request.hasRemaining();
        }
    }

    void leave(Leaving leaving) throws IOException {
        if (leaving == Leaving.RESET) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
        channel.close();
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
