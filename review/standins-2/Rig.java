import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the cases of this review share: the record, a sidecar process, and small stand-ins for discovery, upstreams and
 * clients. All of them use 127.0.0.1 and free ports.
 */
final class Rig implements AutoCloseable {

    static final String HOST = "127.0.0.1";

    /** Thrown if the case could not run; the script then exits with 2. */
    static final class CannotRun extends RuntimeException {

        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    // ---- The record.

    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temp;
    private final List<AutoCloseable> parts = new CopyOnWriteArrayList<>();
    private final AtomicLong ids = new AtomicLong(System.nanoTime() & 0xffffffffL);

    interface Case {
        /** Runs the case; returns whether the rule was broken. */
        boolean run(Rig rig) throws Exception;
    }

    /** The whole script may take 120 s. */
    private static final long TIME_LIMIT_MS = 112_000;

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] arguments, Case body) {
        int status = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::killSidecars));
            start(() -> {
                rig.sleep(TIME_LIMIT_MS);
                rig.log("cannot run: out of time");
                System.err.println("out of time");
                rig.killSidecars();
                Runtime.getRuntime().halt(2);
            });
            try {
                boolean broken = body.run(rig);
                status = broken ? 1 : 0;
                String result = broken ? "the rule was broken" : "the rule held";
                rig.log("result: " + result);
                System.out.println(result);
            } catch (Exception e) {
                rig.log("cannot run: " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private void killSidecars() {
        for (AutoCloseable part : parts) {
            if (part instanceof Sidecar sidecar) {
                sidecar.process.destroyForcibly();
            }
        }
    }

    Rig(Path root, Path recordFile) throws IOException {
        this.root = root;
        this.temp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        log("disruption " + (trouble ? "on" : "off"));
    }

    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    void log(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%10.1f %s%n", nowMs(), line);
            record.flush();
        }
    }

    void sleep(double ms) {
        try {
            Thread.sleep((long) Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    void sleepUntil(double timeMs) {
        sleep(timeMs - nowMs());
    }

    static Thread start(Runnable action) {
        Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String newId() {
        return String.format("%016x", ids.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** A free port below those that the system gives to connections, so that none takes it before the sidecar does. */
    static int freePort() throws IOException {
        for (int i = 0; i < 200; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use.
            }
        }
        throw new CannotRun("no free port");
    }

    @Override
    public void close() {
        for (int i = parts.size() - 1; i >= 0; i--) {
            try {
                parts.get(i).close();
            } catch (Exception e) {
                log("closing a part failed: " + e);
            }
        }
        try (var files = Files.walk(temp)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            log("the temporary folder stays: " + e);
        }
        record.close();
    }

    // ---- A sidecar.

    final class Sidecar implements AutoCloseable {
        final int port;
        final Path config;
        final Path output;
        Process process;

        Sidecar(String name, String discovery, String settings, String known, int sockets, int memoryMb)
                throws IOException {
            port = freePort();
            config = temp.resolve(name + ".json");
            output = temp.resolve(name + ".log");
            writeConfig(name, discovery, settings, known, sockets, memoryMb);
            launch(name, discovery);
            parts.add(this);
        }

        void writeConfig(String name, String discovery, String settings, String known, int sockets, int memoryMb)
                throws IOException {
            Path next = temp.resolve(name + ".next");
            Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + port
                    + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"" + newId() + "\",\"limits\":{\"cores\":1.0,"
                    + "\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                    + (known == null ? "" : "\"known\":" + known + ",") + "\"settings\":" + settings + "}");
            Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void launch(String name, String discovery) throws IOException {
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = \""))
                    .map(line -> line.substring(7, line.length() - 1))
                    .findFirst()
                    .orElseThrow(() -> new CannotRun("no run command"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("BALANCER_LISTEN", HOST + ":" + port);
            builder.environment().put("BALANCER_DISCOVERY", discovery);
            builder.environment().put("BALANCER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", Files.createDirectories(temp.resolve(name)).toString());
            process = builder.start();
            log("sidecar " + name + " started");
        }

        void awaitReady() {
            double giveUpMs = nowMs() + 30_000;
            while (nowMs() < giveUpMs) {
                try (Client client = new Client(port)) {
                    client.send("GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                    Answer answer = client.read(1000);
                    if (answer.status == 200) {
                        log("sidecar ready");
                        return;
                    }
                } catch (IOException e) {
                    if (!process.isAlive()) {
                        throw new CannotRun("the sidecar ended at its start");
                    }
                }
                sleep(50);
            }
            throw new CannotRun("the sidecar is not ready");
        }

        /** Copies the lines that the sidecar has logged into the record. */
        void copyLog() {
            try {
                for (String line : Files.readAllLines(output)) {
                    log("sidecar log: " + line);
                }
            } catch (IOException e) {
                log("no log: " + e);
            }
        }

        @Override
        public void close() {
            process.destroyForcibly().onExit().completeOnTimeout(null, 10, TimeUnit.SECONDS).join();
            copyLog();
        }
    }

    // ---- HTTP on sockets.

    record Answer(int status, String head, byte[] body, boolean complete) {
        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        String header(String name) {
            return Rig.header(head, name);
        }
    }

    static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return null;
    }

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            state = next == (state % 2 == 0 ? '\r' : '\n') ? state + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** A client's connection. */
    final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, port), 5000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Client send(String text) throws IOException {
            return send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Client send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return this;
        }

        /** Reads one answer; throws at the end of the stream, a reset or the timeout. */
        Answer read(double timeoutMs) throws IOException {
            socket.setSoTimeout((int) Math.max(1, timeoutMs));
            String head = readHead(in);
            if (head == null) {
                throw new IOException("the connection ended without an answer");
            }
            int status = Integer.parseInt(head.substring(9, 12));
            String length = Rig.header(head, "Content-Length");
            byte[] body;
            boolean complete = true;
            if (length != null) {
                body = in.readNBytes(Integer.parseInt(length));
                complete = body.length == Integer.parseInt(length);
            } else {
                body = new byte[0];
            }
            return new Answer(status, head, body, complete);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String request(String method, String path, String lane, String id, long remainingMs, String key, int body) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + id
                + "\r\nX-Lane: " + lane + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n");
        if (key != null) {
            text.append("Idempotency-Key: ").append(key).append("\r\n");
        }
        if (method.equals("POST")) {
            text.append("Content-Length: ").append(body).append("\r\n\r\n").append("x".repeat(body));
        } else {
            text.append("\r\n");
        }
        return text.toString();
    }

    // ---- Upstreams.

    /** A request that has reached an upstream whole. */
    record Arrival(Upstream upstream, String head, byte[] body, double atMs, double firstByteMs, Socket socket) {
        String id() {
            return Rig.header(head, "X-Txn");
        }

        String key() {
            return Rig.header(head, "Idempotency-Key");
        }
    }

    interface Behaviour {
        /** Handles a request; returns the bytes of the answer, or null if it has answered by itself or never will. */
        byte[] serve(Arrival arrival) throws IOException, InterruptedException;
    }

    static byte[] ok(String body) {
        return answer("200 OK", body);
    }

    static byte[] answer(String status, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text.append("\r\n").append(body).toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    final class Upstream implements AutoCloseable {
        final String name;
        final ServerSocket listener;
        volatile Behaviour behaviour;
        volatile String phase = "active";
        volatile long upSinceMs;
        volatile int cell = 1;
        volatile String zone = "reykjavik";
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        final java.util.Set<Socket> open = ConcurrentHashMap.newKeySet();

        Upstream(String name, Behaviour behaviour) throws IOException {
            this.name = name;
            this.behaviour = behaviour;
            listener = new ServerSocket(0, 1024, InetAddress.getByName(HOST));
            parts.add(this);
            start(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    start(() -> serve(socket));
                }
            } catch (IOException e) {
                // The listener has been closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    in.mark(1);
                    if (in.read() < 0) {
                        return;
                    }
                    double firstByteMs = nowMs();
                    in.reset();
                    String head = readHead(in);
                    if (head == null) {
                        return;
                    }
                    String length = header(head, "Content-Length");
                    int expected = length == null ? 0 : Integer.parseInt(length);
                    byte[] body = in.readNBytes(expected);
                    if (body.length < expected) {
                        return;
                    }
                    Arrival arrival = new Arrival(this, head, body, nowMs(), firstByteMs, socket);
                    arrivals.add(arrival);
                    arrived(arrival);
                    byte[] answer = behaviour.serve(arrival);
                    if (answer != null) {
                        OutputStream out = socket.getOutputStream();
                        out.write(answer);
                        out.flush();
                    }
                }
            } catch (IOException e) {
                // The other side has closed or reset the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                open.remove(socket);
            }
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        String member() {
            return "{\"id\":\"" + name + "\",\"host_port\":\"" + address() + "\",\"locality\":\"" + zone
                    + "\",\"flavor\":\"mid-box\",\"cell\":" + cell + ",\"phase\":\"" + phase + "\",\"size\":1.0,"
                    + "\"up_since_ms\":" + upSinceMs + "}";
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    volatile boolean logArrivals = true;

    private void arrived(Arrival arrival) {
        if (logArrivals) {
            log("upstream " + arrival.upstream.name + " runs " + arrival.id() + " remaining="
                    + header(arrival.head, "X-Remaining-Ms") + " key=" + arrival.key());
        }
    }

    // ---- Discovery.

    final class Discovery implements AutoCloseable {
        final ServerSocket listener;
        final Map<String, String> members = new TreeMap<>();
        final List<Socket> watches = new CopyOnWriteArrayList<>();
        volatile int revision = 1;

        /** A discovery service without members; the case sets them. */
        Discovery() throws IOException {
            this(List.of());
        }

        Discovery(List<Upstream> upstreams) throws IOException {
            upstreams.forEach(upstream -> members.put(upstream.name, upstream.member()));
            listener = new ServerSocket(0, 100, InetAddress.getByName(HOST));
            parts.add(this);
            start(this::accept);
            start(this::keepAlive);
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                }
            } catch (IOException e) {
                // The listener has been closed.
            }
        }

        synchronized String full() {
            return list(true, new ArrayList<>(members.values()));
        }

        String list(boolean complete, List<String> entries) {
            return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                    + String.join(",", entries) + "]}";
        }

        private void serve(Socket socket) {
            try {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String head = readHead(in);
                if (head == null) {
                    socket.close();
                    return;
                }
                log("discovery: " + head.substring(0, head.indexOf("\r\n")));
                String first = full();
                if (!head.contains("watch=1")) {
                    socket.getOutputStream().write(answer("200 OK", first));
                    return;
                }
                synchronized (this) {
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                    socket.getOutputStream().write(chunk(first));
                    watches.add(socket);
                }
                while (in.read() >= 0) {}
                socket.close();
            } catch (IOException e) {
                // The sidecar has closed the connection.
            } finally {
                watches.remove(socket);
            }
        }

        byte[] chunk(String line) {
            return (Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n").getBytes();
        }

        synchronized void tell(String line) {
            for (Socket watch : watches) {
                try {
                    watch.getOutputStream().write(chunk(line));
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        private void keepAlive() {
            while (!listener.isClosed()) {
                sleep(2000);
                tell("");
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket watch : watches) {
                watch.close();
            }
        }
    }

    // ---- Settings.

    static String settings(String mode, String lanes, String limits) {
        return settings(mode, lanes, limits, 1);
    }

    static String settings(String mode, String lanes, String limits, int sidecars) {
        return "{\"instances\":" + sidecars + ",\"tickMs\":5.0,\"membershipMode\":\"" + mode
                + "\",\"failureDomains\":[\"reykjavik\",\"akureyri\",\"egilsstadir\"],"
                + "\"kinds\":[\"new-box\",\"mid-box\",\"old-box\"],\"lanes\":[" + lanes + "],"
                + "\"clients\":{\"marksRetry\":true},"
                + "\"limits\":{" + limits + "},"
                + "\"contract\":{\"coldFrom\":0.12,\"coldMs\":24000.0,\"overloadFactor\":4.0,\"fallMs\":2000.0,"
                + "\"answerSlackMs\":20.0,\"drainGraceMs\":500.0,\"askEveryMs\":10000.0},"
                + "\"scoringMix\":{\"whole\":0.8,\"worstClass\":0.1,\"worstTenant\":0.0,\"worstWindow\":0.1},"
                + "\"report\":{\"via\":\"off\"},\"weights\":\"rough\",\"worthBy\":\"work\"}";
    }

    static String lane(
            String name,
            double aimMs,
            double limitMs,
            String effect,
            String group,
            double windowMs,
            double worth,
            double lateWorth) {
        return "{\"name\":\"" + name + "\",\"aimMs\":" + aimMs + ",\"hardLimitMs\":" + limitMs + ",\"idempotency\":\""
                + effect + "\",\"group\":\"" + group + "\",\"windowMs\":" + windowMs
                + ",\"worth\":" + worth + ",\"lateWorth\":" + lateWorth + "}";
    }

    /** The two classes of vakta-main. */
    static final String VAKTA_LANES = lane("visit-checkin", 600, 2000, "fragile", "all", 0, 5, 0.5) + ","
            + lane("shift-swap", 500, 1200, "dedup", "cell", 2500, 3, 0.25);

    static final String LIMITS = "\"maxAttempts\":4,\"cancel\":true,\"secondCopies\":true,\"probing\":true,"
            + "\"retryAfter\":true,\"maxRetryAfterMs\":1000.0,\"connIdleMs\":60000.0,\"connectTimeoutMs\":250.0,"
            + "\"streamsPerConn\":1,\"maxOpen\":20350";
}
