package gradehub.node;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

/** Observes by how much a figure grows in each turn of an event loop. */
final class TurnObserver {

    private final EventLoop loop;
    private final LongSupplier figure;
    private final CompletableFuture<Long> most = new CompletableFuture<>();
    private long before;
    private long mostSoFar;
    private volatile long end = Long.MAX_VALUE;

    private TurnObserver(EventLoop loop, LongSupplier figure) {
        this.loop = loop;
        this.figure = figure;
    }

    /** Starts to observe a figure, which is read on the event loop. */
    static TurnObserver start(EventLoop loop, LongSupplier figure) {
        TurnObserver observer = new TurnObserver(loop, figure);
        loop.execute(() -> {
            observer.before = figure.getAsLong();
            observer.observe();
        });
        return observer;
    }

    /** Waits until the figure has reached this value; returns the largest growth in one turn. */
    long mostInOneTurnUntil(long value) throws InterruptedException, ExecutionException, TimeoutException {
        end = value;
        return most.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void observe() {
        long now = figure.getAsLong();
        mostSoFar = Math.max(mostSoFar, now - before);
        before = now;
        if (now >= end) {
            most.complete(mostSoFar);
            return;
        }
        // A task that adds another one would keep the loop from its sockets, so the next one follows the turn.
        loop.execute(() -> ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(this::observe));
    }
}
