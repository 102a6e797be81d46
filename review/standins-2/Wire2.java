import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names on the wire, from {@code wire.properties} beside the classes. */
final class Wire2 {

	private static final Properties NAMES = read();

	static final String PATH = NAMES.getProperty("PATH");

	static final String AT_SERVER = NAMES.getProperty("AT_SERVER");

	static final String LAST_EVENT_ID = NAMES.getProperty("LAST_EVENT_ID");

	static final String SETTINGS = NAMES.getProperty("SETTINGS");

	static final String ATTEMPT_ID = NAMES.getProperty("ATTEMPT_ID");

	static final String DEADLINE_MS = NAMES.getProperty("DEADLINE_MS");

	static final String EXPECT_INSTANCE = NAMES.getProperty("EXPECT_INSTANCE");

	static final String HOPS = NAMES.getProperty("HOPS");

	static final String INSTANCE_ID = NAMES.getProperty("INSTANCE_ID");

	static final String MODEL = NAMES.getProperty("MODEL");

	static final String NOT_EXECUTED = NAMES.getProperty("NOT_EXECUTED");

	static final String PROMPT_PREFIX = NAMES.getProperty("PROMPT_PREFIX");

	static final String SERVER_STAMP = NAMES.getProperty("SERVER_STAMP");

	static final String TOKEN_COUNT = NAMES.getProperty("TOKEN_COUNT");

	static final String KV_IN_USE = NAMES.getProperty("KV_IN_USE");

	private Wire2() {
	}

	private static Properties read() {
		Properties names = new Properties();
		try (InputStream in = Wire2.class.getResourceAsStream("wire.properties")) {
			names.load(in);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return names;
	}

}
