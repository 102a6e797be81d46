package standins;

import java.util.List;
import java.util.Map;

/** Builds configurations as an operator writes them. Stateless. */
public final class Config {

	public static final String HOST = "desk.example";

	private Config() {
	}

	public static Map<String, Object> route(String prefix, String kind, long timeoutMs, int maxAttempts,
			String service) {
		return Json.of("name", "r" + prefix.replace("/", "-"), "host", HOST, "path-prefix", prefix, "kind", kind,
				"timeout-ms", timeoutMs, "target-latency-ms", 100L, "priority", 2L, "service", service,
				"max-attempts", (long) maxAttempts, "anonymous", false, "sticky", false, "resumable", false);
	}

	public static Map<String, Object> service(String name) {
		return Json.of("name", name, "health-path", "/healthz", "max-connections", 100L, "protocol", "h1", "tls",
				false);
	}

	public static Map<String, Object> tenant(String name, String... keys) {
		return Json.of("name", name, "api-keys", List.of(keys), "priority", 1L);
	}

	public static Map<String, Object> version(long version, List<?> routes, List<?> services, List<?> tenants) {
		return Json.of("version", version, "route-list", routes, "services", services, "limits",
				Json.of("max-header-bytes", 16_384L, "max-body-bytes", 4_194_304L, "header-timeout-ms", 3_000L,
						"idle-timeout-ms", 15_000L),
				"tenants", tenants);
	}

}
