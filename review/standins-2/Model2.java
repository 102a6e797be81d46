import java.io.IOException;
import java.io.OutputStream;

/** A language model service of 80 layers whose servers hold all layers each. */
final class Model2 {

	static final String SERVICE = "llm";

	private static final int EVENTS = 5;

	private static final long GAP_MS = 20;

	private Model2() {
	}

	/** Returns a configuration with the service and a streaming route to it. */
	static String configuration() {
		return Setup2.configuration(7, "\"api-keys\":[\"key-one\"]")
			.replace("\"route-list\":[",
					"\"route-list\":[{\"name\":\"r-draft\",\"host\":\"" + Setup2.HOST
							+ "\",\"path-prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout-ms\":20000,"
							+ "\"target-latency-ms\":500,\"priority\":1,\"service\":\"" + SERVICE
							+ "\",\"max-attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,"
							+ "\"gap-target-ms\":250},")
			.replace("\"services\":[", "\"services\":[{\"name\":\"" + SERVICE
					+ "\",\"health-path\":\"/healthz\",\"max-connections\":1128,\"protocol\":\"h1\",\"tls\":false,"
					+ "\"engine\":{\"slots\":134,\"kv-capacity\":69791,\"kv-bytes\":845373,\"link-mbps\":400000.0,"
					+ "\"stride\":4,\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"load-s\":14.0,\"warm-s\":1.0}],"
					+ "\"step_ms\":1.02,\"per_seq_ms\":0.0066,\"context_per_k\":0.0088,\"read_per_s\":164000.0,"
					+ "\"pairs_per_m\":0.199,\"chunk\":512,\"report_lag_ms\":200.0,\"loads-per-s\":0.0,"
					+ "\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":775,\"answer\":216},\"layers\":80,"
					+ "\"layer-mb\":1750.0,\"activation-bytes\":42268,\"pipe-mbps\":13000.0,\"kinds\":["
					+ "{\"name\":\"h200\",\"size-mb\":282000.0,\"pace\":1.0,\"read-factor\":1.0}]}},");
	}

	/** Starts a server of the service and lists it. */
	static void addServer(Record2 record, Setup2 setup, String id) throws IOException {
		Server2[] server = new Server2[1];
		server[0] = new Server2(id, (head, in, out) -> {
			String length = head.header("Content-Length");
			byte[] body = in.readNBytes((length != null) ? Integer.parseInt(length) : 0);
			if (length != null && body.length < Integer.parseInt(length)) {
				return false;
			}
			return head.target().startsWith(Wire2.PATH) ? control(out)
					: stream(record, head, id, server[0].address(), out);
		});
		setup.servers.add(server[0]);
		setup.store.put("servers", id,
				"{\"service\":\"" + SERVICE + "\",\"address\":\"" + server[0].address()
						+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":134,\"state\":\"ready\","
						+ "\"cold-remaining-ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,"
						+ "\"adapters\":[]}],\"sequence\":4,\"born\":1764000000123,\"kind\":\"h200\","
						+ "\"layers\":[{\"from\":0,\"target\":80,\"version\":1}]}");
	}

	private static boolean control(OutputStream out) throws IOException {
		byte[] report = Http2.bytes("{\"phase\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
				+ "\"busy\":false,\"sequence\":2,\"queued\":0,\"active\":0,\"" + Wire2.KV_IN_USE + "\":0,\"kv-size\":13000000,"
				+ "\"sessions\":0,\"pace\":1.0,\"kind\":\"h200\",\"born\":1764000000123,\"stalled\":[],"
				+ "\"layers\":[{\"from\":0,\"target\":80,\"version\":1}]}");
		out.write(Http2.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length
				+ "\r\n\r\n"));
		out.write(report);
		out.flush();
		return true;
	}

	/** Runs a request if its path is this server alone, with all layers. */
	private static boolean stream(Record2 record, Http2.Message head, String id, String address, OutputStream out)
			throws IOException, InterruptedException {
		String attempt = head.header(Wire2.ATTEMPT_ID);
		String hops = head.header(Wire2.HOPS);
		if (hops != null && !hops.equals(address + "=0-80")) {
			record.line("turned away " + attempt + " at " + id + ": path " + hops);
			String last = hops.substring(hops.lastIndexOf(',') + 1).split("=")[0];
			out.write(Http2.bytes("HTTP/1.1 503 Service Unavailable\r\n" + Wire2.ATTEMPT_ID + ": " + attempt
					+ "\r\n" + Wire2.NOT_EXECUTED + ": 1\r\n" + Wire2.AT_SERVER + ": " + last + "\r\nContent-Length: 0\r\n\r\n"));
			out.flush();
			return true;
		}
		record.line("run       " + attempt + " at " + id);
		out.write(Http2.bytes(Server2.success(head,
				"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
		String from = head.header(Wire2.LAST_EVENT_ID);
		for (int i = (from != null) ? Integer.parseInt(from) + 1 : 1; i <= EVENTS; i++) {
			String event = "id: " + i + "\ndata: token\n\n";
			out.write(Http2.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
			out.flush();
			Thread.sleep(GAP_MS);
		}
		out.write(Http2.bytes("0\r\n\r\n"));
		out.flush();
		return true;
	}

	/** What requesters sent and got: streams, and requests of another service. */
	static final class Counts {

		int streams;

		int streamsServed;

		int others;

		int othersServed;

		boolean allServed() {
			return this.streamsServed == this.streams && this.othersServed == this.others;
		}

		/** Returns whether streams are served less than a quarter as often as all. */
		boolean starved() {
			double all = (this.streamsServed + this.othersServed) / (double) (this.streams + this.others);
			return this.streamsServed / (double) this.streams < all / 4;
		}

		@Override
		public String toString() {
			return this.streams + " streams sent, " + this.streamsServed + " served; " + this.others
					+ " other requests sent, " + this.othersServed + " served";
		}

	}

	/** Sends a stream and another request to each router. */
	static void requests(Record2 record, Setup2 setup, Counts counts) {
		for (Router2 router : setup.routers) {
			counts.streams++;
			counts.streamsServed += served(record, router, true) ? 1 : 0;
			counts.others++;
			counts.othersServed += served(record, router, false) ? 1 : 0;
		}
	}

	private static boolean served(Record2 record, Router2 router, boolean stream) {
		String id = Setup2.newId();
		record.line("sent      " + id + (stream ? " stream to " : " to ") + router.name());
		try (Client2 client = new Client2(router.ip(), router.callers(), 3000)) {
			client.send(stream
					? Setup2.request("POST", "/draft/one", id, 20_000,
							Wire2.MODEL + ": m0\r\n" + Wire2.TOKEN_COUNT + ": 760,80\r\n"
									+ Wire2.PROMPT_PREFIX + ": 5c1e07a2:40,91bd3f06:720\r\nContent-Length: 6\r\n")
					: Setup2.request("GET", "/read/one", id, 1500, ""), Http2.bytes(stream ? "prompt" : ""));
			Http2.Message answer = client.answer();
			record.line("answered  " + id + " " + answer.status()
					+ ((answer.status() != 200) ? " " + answer.text().replaceAll("\\s+", " ") : ""));
			return answer.status() == 200 && (!stream || answer.text().contains("id: " + EVENTS + "\n"));
		}
		catch (IOException ex) {
			record.line("no answer " + id + " " + ex.getMessage());
			return false;
		}
	}

}
