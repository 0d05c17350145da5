package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the limits of the balancer's sources, the deploy file, the compiled classes and the example in README.md. */
class RepositoryTest {

    /** The root of the repository; the tests run in the Maven module's folder. */
    private static final Path ROOT = Path.of("..");

    /** Limit of a policy file, in lines that are not blank: each has one job. */
    private static final int MAX_POLICY_FILE_LINES = 400;

    private static final Path PACKAGE = ROOT.resolve("sidecar/src/main/java/gradehub");
    /** Sources shared with the network code and the adapter, which take no balancing decisions. */
    private static final Set<String> SHARED_SOURCES =
            Set.of("Balancer.java", "Main.java", "SettingsReader.java", "package-info.java");

    @Test
    void thePolicyFilesStayWithinTheirLimits() throws IOException {
        for (Path file : policyFiles()) {
            List<String> lines = Files.readAllLines(file);
            long nonBlank = lines.stream().filter(line -> !line.isBlank()).count();
            assertTrue(nonBlank <= MAX_POLICY_FILE_LINES, file + " has " + nonBlank + " lines");
            for (String line : lines) {
                assertTrue(line.length() <= 110, line);
            }
        }
        String head = String.join(
                "\n",
                Files.readAllLines(PACKAGE.resolve("LoadShiftingBalancer.java")).subList(0, 20));
        assertTrue(head.contains("Balancer.java"), "the head of the class names the interface file");
    }

    /** Decision code in a file that the deploy file does not name would not be measured. */
    @Test
    void theDeployFileNamesEachPolicyFile() throws IOException {
        try (Stream<Path> files = Files.list(PACKAGE)) {
            Set<Path> sources = files.filter(Files::isRegularFile)
                    .filter(file -> !SHARED_SOURCES.contains(file.getFileName().toString()))
                    .collect(Collectors.toSet());
            assertEquals(sources, Set.copyOf(policyFiles()));
        }
    }

    /** {@code package-info.java} may be left out of the policy files only while it declares no type. */
    @Test
    void thePackageDescriptionContainsNoCode() throws IOException {
        String description = Files.readString(PACKAGE.resolve("package-info.java"));
        String code = description.replaceAll("(?s)/\\*.*?\\*/", "").strip();
        assertEquals("package gradehub;", code);
    }

    private static List<Path> policyFiles() throws IOException {
        Matcher policy = Pattern.compile("^policy = \\[(.*)]$", Pattern.MULTILINE)
                .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(policy.find(), "the deploy file has a policy entry");
        return Stream.of(policy.group(1).split(","))
                .map(name -> ROOT.resolve(name.strip().replace("\"", "")))
                .toList();
    }

    /** The first concatenation through {@code invokedynamic} generates classes for 0.25 s on a slow core. */
    @Test
    void noStringConcatenationUsesInvokedynamic() throws IOException {
        List<Path> usingIndy = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("target/classes"))) {
            for (Path file :
                    files.filter(name -> name.toString().endsWith(".class")).toList()) {
                String constants = Files.readString(file, StandardCharsets.ISO_8859_1);
                if (constants.contains("java/lang/invoke/StringConcatFactory")) {
                    usingIndy.add(file);
                }
            }
        }
        assertEquals(List.of(), usingIndy);
    }

    @Test
    void theReadmeExampleCompilesAndRuns(@TempDir Path dir) throws Exception {
        Matcher block = Pattern.compile("```java\n(.*?)```", Pattern.DOTALL)
                .matcher(Files.readString(ROOT.resolve("README.md")));
        assertTrue(block.find(), "README.md has an example");
        Path source = Files.writeString(dir.resolve("Example.java"), block.group(1));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        assertNotNull(compiler);
        assertEquals(
                0,
                compiler.run(
                        null,
                        null,
                        null,
                        "-Xlint:all",
                        "-Werror",
                        "-cp",
                        "target/classes",
                        "-d",
                        dir.toString(),
                        source.toString()));
        URL[] path = {dir.toUri().toURL(), Path.of("target/classes").toUri().toURL()};
        try (URLClassLoader loader = new URLClassLoader(path, ClassLoader.getPlatformClassLoader())) {
            Object sent = loader.loadClass("Example").getMethod("run").invoke(null);
            assertEquals("request 1 goes to upstream 7", sent);
        }
    }
}
