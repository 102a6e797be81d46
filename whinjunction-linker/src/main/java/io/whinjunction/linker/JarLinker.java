package io.whinjunction.linker;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.jar.Attributes;
import java.util.jar.JarFile;
import java.util.jar.Manifest;
import java.util.regex.Pattern;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import java.util.zip.ZipOutputStream;

/**
 * Merges the jars of a program into one and links the dynamic call sites of the project's
 * own classes. With one jar a search for a service or a resource opens one file instead
 * of all of them, which happens in each start.
 * <p>
 * Invariants: of two entries with the same name the first is kept, as on a class path,
 * except that declarations of services are joined. Classes for other versions of Java,
 * signatures and build descriptions are left out. Confined to one thread.
 */
public final class JarLinker {

	private static final Path OWN_CLASSES = Path.of("io", "whinjunction");

	private static final String SERVICES = "META-INF/services/";

	private static final Pattern LEFT_OUT = Pattern.compile(
			".*/|(.*/)?module-info\\.class|META-INF/(versions|maven|native-image)/.*|META-INF/[^/]*\\.(SF|RSA|DSA)|"
					+ JarFile.MANIFEST_NAME);

	private final Map<String, byte[]> entries = new LinkedHashMap<>();

	private JarLinker() {
	}

	/**
	 * Merges jars. All classes that they refer to must be on the class path.
	 * @param args the path of the jar to write, the program's jar, and its libraries
	 * @throws IOException if a jar can't be read or written
	 */
	public static void main(String[] args) throws IOException {
		JarLinker linker = new JarLinker();
		for (int index = 1; index < args.length; index++) {
			linker.add(Path.of(args[index]));
		}
		linker.write(Path.of(args[0]), manifest(Path.of(args[1])));
	}

	private void add(Path jar) throws IOException {
		try (InputStream file = Files.newInputStream(jar); ZipInputStream in = new ZipInputStream(file)) {
			for (ZipEntry entry = in.getNextEntry(); entry != null; entry = in.getNextEntry()) {
				String name = entry.getName();
				if (LEFT_OUT.matcher(name).matches()) {
					continue;
				}
				byte[] content = in.readAllBytes();
				if (Path.of(name).startsWith(OWN_CLASSES) && name.endsWith(".class")) {
					this.entries.putIfAbsent(name, ClassLinker.link(content));
				}
				else if (name.startsWith(SERVICES)) {
					this.entries.merge(name, content, JarLinker::join);
				}
				else {
					this.entries.putIfAbsent(name, content);
				}
			}
		}
	}

	private void write(Path jar, Manifest manifest) throws IOException {
		try (ZipOutputStream out = new ZipOutputStream(Files.newOutputStream(jar))) {
			out.putNextEntry(entry(JarFile.MANIFEST_NAME));
			manifest.write(out);
			out.closeEntry();
			for (Map.Entry<String, byte[]> entry : this.entries.entrySet()) {
				out.putNextEntry(entry(entry.getKey()));
				out.write(entry.getValue());
				out.closeEntry();
			}
		}
	}

	private static Manifest manifest(Path jar) throws IOException {
		try (JarFile file = new JarFile(jar.toFile())) {
			Manifest manifest = new Manifest(file.getManifest());
			manifest.getMainAttributes().remove(Attributes.Name.CLASS_PATH);
			return manifest;
		}
	}

	// The same time in each build, so that equal input gives an equal jar.
	private static ZipEntry entry(String name) {
		ZipEntry entry = new ZipEntry(name);
		entry.setTime(0);
		return entry;
	}

	private static byte[] join(byte[] first, byte[] second) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		joined.writeBytes(first);
		joined.write('\n');
		joined.writeBytes(second);
		return joined.toByteArray();
	}

}
