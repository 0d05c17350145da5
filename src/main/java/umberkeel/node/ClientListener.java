package umberkeel.node;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

import io.netty.channel.socket.nio.NioServerSocketChannel;

/** Accepts clients on channels that can be looked at. */
final class ClientListener extends NioServerSocketChannel {

    @Override
    protected int doReadMessages(List<Object> accepted) throws IOException {
        SocketChannel client = javaChannel().accept();
        if (client == null) {
            return 0;
        }
        accepted.add(new LookingChannel(this, client));
        return 1;
    }
}
