package gradehub.node;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Accepts clients on channels that can be looked at. */
final class ClientListener extends NioServerSocketChannel {

    private static final System.Logger LOG = System.getLogger("gradehub");

    @Override
    protected int doReadMessages(List<Object> accepted) throws IOException {
        SocketChannel client = javaChannel().accept();
        if (client == null) {
            return 0;
        }
        accepted.add(new LookingChannel(this, client));
        return 1;
    }

    /** Accepts those that wait, up to this many: the listener's close would reset them, and what they have sent. */
    void acceptAll(int most) {
        List<Object> waiting = new ArrayList<>();
        try {
            int accepted = 1;
            while (accepted > 0 && waiting.size() < most) {
                accepted = doReadMessages(waiting);
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "can't accept what waits: " + e.getMessage());
        }
        waiting.forEach(pipeline()::fireChannelRead);
    }
}
