package gradehub.node;

import java.io.IOException;
import java.net.ProtocolFamily;
import java.nio.channels.Channel;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;

/**
 * Delegates to the system's selector provider and notifies {@link SelectorRegistrations} of each selector that is opened.
 * When a selector repeatedly returns without ready keys, the event loop opens another one and registers all channels
 * with it.
 */
final class ObservedSelectorProvider extends SelectorProvider {

    private final SelectorProvider system = SelectorProvider.provider();

    @Override
    public AbstractSelector openSelector() throws IOException {
        AbstractSelector selector = system.openSelector();
        SelectorRegistrations.current().selectorOpened();
        return selector;
    }

    @Override
    public DatagramChannel openDatagramChannel() throws IOException {
        return system.openDatagramChannel();
    }

    @Override
    public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
        return system.openDatagramChannel(family);
    }

    @Override
    public Pipe openPipe() throws IOException {
        return system.openPipe();
    }

    @Override
    public ServerSocketChannel openServerSocketChannel() throws IOException {
        return system.openServerSocketChannel();
    }

    @Override
    public SocketChannel openSocketChannel() throws IOException {
        return system.openSocketChannel();
    }

    @Override
    public Channel inheritedChannel() throws IOException {
        return system.inheritedChannel();
    }
}
