package gradehub.node;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;

/** Accepts clients on channels that can be looked at. */
final class ClientListener extends NioServerSocketChannel {

    private static final System.Logger LOG = System.getLogger("gradehub");

    private final IntSupplier room;

    /** Accepts as many clients at once as there is {@code room} for. */
    ClientListener(IntSupplier room) {
        this.room = room;
    }

    /** All that wait are accepted in one go: whoever is left would wait for another turn of the event loop. */
    @Override
    protected int doReadMessages(List<Object> accepted) throws IOException {
        return accept(accepted, Math.max(1, room.getAsInt()));
    }

    private int accept(List<Object> accepted, int most) throws IOException {
        for (int count = 0; count < most; count++) {
            SocketChannel client = javaChannel().accept();
            if (client == null) {
                return count;
            }
            accepted.add(new LookingChannel(this, client));
        }
        return most;
    }

    /** Accepts those that wait, up to this many: the listener's close would reset them, and what they have sent. */
    void acceptAll(int most) {
        List<Object> waiting = new ArrayList<>();
        try {
            accept(waiting, most);
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "can't accept what waits: " + e.getMessage());
        }
        for (Object client : waiting) {
            pipeline().fireChannelRead(client);
        }
    }
}
