package standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names on the wire, from {@code wire.properties}. */
public final class Wire {

	private static final Properties NAMES = load();

	public static final String ATTEMPT_ID = name("attempt-id");

	public static final String DEADLINE_MS = name("deadline-ms");

	public static final String EXPECT_INSTANCE = name("expect-instance");

	public static final String INSTANCE_ID = name("instance-id");

	public static final String LAST_EVENT_ID = name("last-event-id");

	public static final String SERVER_STAMP = name("server-stamp");

	/** The path below which the store has its objects. */
	public static final String OBJECTS = name("objects");

	/** The path at which a router says whether it is ready. */
	public static final String READY = name("ready");

	/** The environment variable that names a router's settings file. */
	public static final String SETTINGS_VARIABLE = name("settings-variable");

	private Wire() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
			names.load(in);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return names;
	}

	private static String name(String key) {
		return NAMES.getProperty(key);
	}

}
