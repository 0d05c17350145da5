package gradehub.benchlink;

import gradehub.Balancer;
import gradehub.Balancer.AttemptEnd;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Request;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Status;
import gradehub.Balancer.Upstream;
import gradehub.SettingsReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Hosts the balancers of many simulated sidecars behind the simulator's binary protocol: reads batches of events, passes
 * them to the balancers and writes one reply for each batch.
 */
public final class BenchLink {

    /** Creates the balancer of one instance. */
    public interface Factory {
        /** Creates a balancer that seeds its random numbers with {@code seed} and calls {@code actions}. */
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    private static final int LIST_SLOTS = 16;
    private static final int UPSTREAM_BYTES = 22;
    private static final int HINT_FLAG = 1;
    private static final int REPEAT_FLAG = 2;
    private static final double[] NO_REPORT = {};
    private static final ListKind[] LIST_KINDS = ListKind.values();
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final Status[] STATUSES = Status.values();

    private final Factory factory;
    private final BatchReader batch;
    private final OutputStream out;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Balancer> balancers = new HashMap<>();
    /** The number of request classes in the settings of each instance. */
    private final Map<Integer, Integer> classCounts = new HashMap<>();

    private final List<List<Upstream>> lists = new ArrayList<>();

    /** Creates an adapter that reads batches from {@code in} and writes replies to {@code out}. */
    public BenchLink(Factory factory, InputStream in, OutputStream out) {
        this.factory = factory;
        this.batch = new BatchReader(in);
        this.out = out;
        for (int i = 0; i < LIST_SLOTS; i++) {
            lists.add(List.of());
        }
    }

    /** Handles batches until the input ends. */
    public void run() throws IOException {
        while (batch.next()) {
            reply.begin(batch.batchNumber());
            int instance = -1;
            for (long i = 0; i < batch.recordCount(); i++) {
                int start = batch.position();
                try {
                    int code = batch.u16();
                    if (code == 12) {
                        instance = batch.u16();
                    } else if (code == 11) {
                        readList();
                    } else if (instance < 0) {
                        throw new MalformedFrameException("an event comes before any instance is selected");
                    } else {
                        dispatch(instance, code);
                    }
                } catch (EOFException e) {
                    throw malformed(i, start, "the record runs past the end of the batch");
                } catch (MalformedFrameException e) {
                    throw malformed(i, start, e.getMessage());
                }
            }
            if (batch.remaining() > 0) {
                throw malformed(
                        batch.recordCount(), batch.position(), batch.remaining() + " bytes follow the last record");
            }
            reply.writeTo(out);
        }
    }

    private MalformedFrameException malformed(long record, int position, String problem) {
        return new MalformedFrameException("batch " + Integer.toUnsignedString(batch.batchNumber()) + ", record "
                + record + " at byte " + position + ": " + problem);
    }

    /** Reads all fields of one event, then passes it on; an exception of the balancer becomes a panic action. */
    private void dispatch(int instance, int code) throws IOException {
        double nowMs = batch.nowMs();
        Balancer balancer = balancers.get(instance);
        switch (code) {
            case 1 -> instanceStarted(instance, nowMs);
            case 2 -> upstreamsListed(instance, balancer, nowMs);
            case 3 -> requestArrived(instance, balancer, nowMs);
            case 4 -> streamStarted(instance, balancer, nowMs);
            case 5 -> attemptEnded(instance, balancer, nowMs);
            case 6 -> clientDisconnected(instance, balancer, nowMs);
            case 7 -> timerFired(instance, balancer, nowMs);
            case 8 -> probeEnded(instance, balancer, nowMs);
            case 9 -> peerMessageReceived(instance, balancer, nowMs);
            case 10 -> balancers.remove(instance);
            default -> throw new MalformedFrameException("unknown event code " + code);
        }
    }

    private void instanceStarted(int instance, double nowMs) throws IOException {
        long seed = batch.u64();
        Settings settings = settings(batch.text(batch.count(1)));
        classCounts.put(instance, settings.classes().size());
        runOrPanic(instance, () -> {
            Balancer created = factory.create(settings, seed, reply.actionsOf(instance));
            balancers.put(instance, created);
            created.start(nowMs);
        });
    }

    private void upstreamsListed(int instance, Balancer balancer, double nowMs) throws IOException {
        ListKind kind = enumValue(LIST_KINDS, batch.u8(), "list kind");
        batch.u32();
        int slot = batch.u8();
        if (kind != ListKind.FAILED && slot >= LIST_SLOTS) {
            throw new MalformedFrameException("list number " + slot + " is not below " + LIST_SLOTS);
        }
        List<Upstream> entries = kind == ListKind.FAILED ? List.of() : lists.get(slot);
        deliver(instance, balancer, () -> balancer.upstreams(nowMs, kind, entries));
    }

    private void requestArrived(int instance, Balancer balancer, double nowMs) throws IOException {
        int id = batch.u32();
        int flags = batch.u8();
        batch.u64();
        int requestClass = batch.u16();
        if (balancer != null && requestClass >= classCounts.get(instance)) {
            throw new MalformedFrameException("unknown class " + requestClass);
        }
        double timeoutMs = batch.f64();
        int tenant = batch.u32();
        double hintMs = batch.f64();
        double costMs = (flags & HINT_FLAG) != 0 && hintMs > 0 ? hintMs : 0;
        deliver(
                instance,
                balancer,
                () -> balancer.request(
                        nowMs, new Request(id, requestClass, tenant, timeoutMs, (flags & REPEAT_FLAG) != 0, costMs)));
    }

    private void streamStarted(int instance, Balancer balancer, double nowMs) throws IOException {
        int id = batch.u32();
        batch.u32();
        int attempt = batch.u8();
        double elapsedMs = batch.f64();
        deliver(instance, balancer, () -> balancer.streamStarted(nowMs, id, attempt, elapsedMs));
    }

    private void attemptEnded(int instance, Balancer balancer, double nowMs) throws IOException {
        int id = batch.u32();
        double elapsedMs = batch.f64();
        boolean done = batch.u8() != 0;
        int upstream = batch.u32();
        int attempt = batch.u8();
        Outcome outcome = enumValue(OUTCOMES, batch.u8(), "outcome");
        double[] report = report();
        deliver(
                instance,
                balancer,
                () -> balancer.attemptEnded(
                        nowMs, new AttemptEnd(id, attempt, upstream, outcome, elapsedMs, done, report)));
    }

    private void clientDisconnected(int instance, Balancer balancer, double nowMs) throws IOException {
        int id = batch.u32();
        deliver(instance, balancer, () -> balancer.clientDisconnected(nowMs, id));
    }

    private void timerFired(int instance, Balancer balancer, double nowMs) throws IOException {
        int token = batch.u32();
        deliver(instance, balancer, () -> balancer.timer(nowMs, token));
    }

    private void probeEnded(int instance, Balancer balancer, double nowMs) throws IOException {
        int upstream = batch.u32();
        Outcome outcome = enumValue(OUTCOMES, batch.u8(), "outcome");
        double elapsedMs = batch.f64();
        double[] report = report();
        deliver(instance, balancer, () -> balancer.probeEnded(nowMs, upstream, outcome, elapsedMs, report));
    }

    private void peerMessageReceived(int instance, Balancer balancer, double nowMs) throws IOException {
        int sender = batch.u16();
        byte[] message = batch.bytes(batch.u16());
        deliver(instance, balancer, () -> balancer.peerMessage(nowMs, sender, message));
    }

    private static Settings settings(String options) throws MalformedFrameException {
        try {
            return SettingsReader.fromLines(options).settings();
        } catch (IllegalArgumentException e) {
            throw new MalformedFrameException("settings: " + e.getMessage());
        }
    }

    private void readList() throws IOException {
        int slot = batch.u8();
        if (slot >= LIST_SLOTS) {
            throw new MalformedFrameException("list number " + slot + " is not below " + LIST_SLOTS);
        }
        Upstream[] entries = new Upstream[batch.count(UPSTREAM_BYTES)];
        for (int i = 0; i < entries.length; i++) {
            double startedMs = batch.f64();
            int zone = batch.u16();
            int kind = batch.u8();
            int cell = batch.u16();
            int id = batch.u32();
            double weight = batch.f32();
            Status status = enumValue(STATUSES, batch.u8(), "status");
            entries[i] = new Upstream(id, status, startedMs, zone, kind, cell, Math.max(0, weight));
        }
        lists.set(slot, List.of(entries));
    }

    private double[] report() throws IOException {
        int count = batch.u8();
        if (count == 0) {
            return NO_REPORT;
        }
        double[] report = new double[count];
        for (int i = 0; i < count; i++) {
            report[i] = batch.f32();
        }
        return report;
    }

    private static <T> T enumValue(T[] values, int code, String name) throws MalformedFrameException {
        if (code >= values.length) {
            throw new MalformedFrameException("unknown " + name + " " + code);
        }
        return values[code];
    }

    /** Passes an event to a balancer; drops it if the instance has not started, was removed or has failed. */
    private void deliver(int instance, Balancer balancer, Runnable event) {
        if (balancer != null) {
            runOrPanic(instance, event);
        }
    }

    private void runOrPanic(int instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            balancers.remove(instance);
            reply.panic(instance, String.valueOf(e.getMessage() == null ? e : e.getMessage()));
        }
    }
}
