package gradehub.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.jar.JarFile;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.spi.ToolProvider;

/**
 * The last step of the build: verifies the class archive against the jar. The archive must contain each class that a
 * serving sidecar may need, with all of its lambda call sites linked. A missing one means that the training run did not
 * exercise that code.
 */
public final class ArchiveCheck {

    private static final String CLASS_FILE_SUFFIX = ".class";
    private static final Pattern PROJECT_CLASS = Pattern.compile("gradehub\\..*");
    /** Classes that are used only in the build or in the simulator. */
    private static final Pattern NOT_SERVING =
            Pattern.compile("gradehub\\.(benchlink\\..*|Main|node\\.(Training|Archive)[^.]*|.*package-info)");

    private static final Pattern ARCHIVED_CLASS = Pattern.compile("^ *\\d+: (gradehub\\.[^ ]+) app_loader.*");
    private static final Pattern LAMBDA_HOST = Pattern.compile("(gradehub\\.[^ ]+?)\\$\\$Lambda.*");
    private static final Pattern DISASSEMBLED_CLASS =
            Pattern.compile("^(?:[a-z]+ )*(?:class|interface|enum) (gradehub\\.[^ <]+).*\\{$");
    /** Excludes the generated methods of records: they use invokedynamic too, but no serving code calls them. */
    private static final Pattern LAMBDA_SITE =
            Pattern.compile(".*invokedynamic.*InvokeDynamic #\\d+:(?!toString:|hashCode:|equals:).*");

    private ArchiveCheck() {}

    /** Checks the archive against the jar; prints what is missing and exits with status 1 if it is incomplete. */
    public static void main(String jar, String archive) throws IOException, InterruptedException {
        List<String> missing = missing(jar, archive);
        missing.forEach(line -> System.err.println("not in the class archive: " + line));
        System.exit(missing.isEmpty() ? 0 : 1);
    }

    private static List<String> missing(String jar, String archive) throws IOException, InterruptedException {
        Map<String, Integer> lambdas = new HashMap<>();
        List<String> archived = archivedClasses(jar, archive);
        for (String name : archived) {
            Matcher lambda = LAMBDA_HOST.matcher(name);
            if (lambda.matches()) {
                lambdas.merge(lambda.group(1), 1, Integer::sum);
            }
        }
        List<String> missing = new ArrayList<>();
        lambdaSites(jar, servingClasses(jar)).forEach((name, sites) -> {
            int linked = lambdas.getOrDefault(name, 0);
            if (!archived.contains(name)) {
                missing.add(name);
            } else if (linked < sites) {
                missing.add((sites - linked) + " of " + sites + " lambdas of " + name);
            }
        });
        return missing;
    }

    /** Returns the names of the classes that a sidecar may need while it serves requests. */
    static List<String> servingClasses(String jar) throws IOException {
        return classes(jar, PROJECT_CLASS).stream()
                .filter(name -> !NOT_SERVING.matcher(name).matches())
                .toList();
    }

    /** Returns the names of the classes in the jar that match the pattern. */
    static List<String> classes(String jar, Pattern kind) throws IOException {
        try (JarFile file = new JarFile(jar)) {
            return file.stream()
                    .map(entry -> entry.getName())
                    .filter(name -> name.endsWith(CLASS_FILE_SUFFIX))
                    .map(name -> name.substring(0, name.length() - CLASS_FILE_SUFFIX.length())
                            .replace('/', '.'))
                    .filter(name -> kind.matcher(name).matches())
                    .toList();
        }
    }

    /** Returns the number of lambda call sites in each class. */
    private static Map<String, Integer> lambdaSites(String jar, List<String> classes) {
        List<String> arguments = new ArrayList<>(List.of("-p", "-c", "-cp", jar));
        arguments.addAll(classes);
        StringWriter text = new StringWriter();
        PrintWriter out = new PrintWriter(text);
        ToolProvider disassembler = ToolProvider.findFirst("javap").orElseThrow();
        int status = disassembler.run(out, out, arguments.toArray(new String[0]));
        if (status != 0) {
            throw new IllegalStateException(text.toString());
        }
        Map<String, Integer> sites = new TreeMap<>();
        String currentClass = "";
        for (String line : text.toString().lines().toList()) {
            Matcher declaration = DISASSEMBLED_CLASS.matcher(line);
            if (declaration.matches()) {
                currentClass = declaration.group(1);
                sites.put(currentClass, 0);
            } else if (LAMBDA_SITE.matcher(line).matches()) {
                sites.merge(currentClass, 1, Integer::sum);
            }
        }
        return sites;
    }

    /** Returns the names of the project's classes in the archive, as listed by the JVM. */
    private static List<String> archivedClasses(String jar, String archive) throws IOException, InterruptedException {
        Process listing = new ProcessBuilder(
                        "java",
                        "-XX:SharedArchiveFile=" + archive,
                        "-XX:+UseSerialGC",
                        "-XX:+PrintSharedArchiveAndExit",
                        "-jar",
                        jar)
                .redirectErrorStream(true)
                .start();
        List<String> archived = new ArrayList<>();
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(listing.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Matcher entry = ARCHIVED_CLASS.matcher(line);
                if (entry.matches()) {
                    archived.add(entry.group(1));
                }
            }
        }
        listing.waitFor();
        return archived;
    }
}
