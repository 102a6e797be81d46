import java.io.IOException;

/**
 * Another writer puts one entry into the list of servers, whose address is of another
 * type: nested lists, within the size that the store allows.
 */
final class Case4 {

	private static final int ROUTERS = 3;

	private static final int VALUE_BYTES = 1_048_576;

	private static final long WATCHED_MS = 40_000;

	public static void main(String[] args) {
		int bytes = Integer.parseInt(System.getenv().getOrDefault("ENTRY_BYTES", Integer.toString(VALUE_BYTES)));
		Setup2.play(args[0], (record, setup) -> run(record, setup, bytes));
	}

	private static int run(Record2 record, Setup2 setup, int bytes) throws Exception {
		try (setup) {
			setup.configure();
			for (int i = 1; i <= 2; i++) {
				String id = "i-000000" + i;
				setup.addServer(id, (head, in, out) -> Setup2.answer(head, in, out, record, id));
			}
			if (!setup.startRouters(ROUTERS)) {
				record.line("the routers did not become ready");
				return 2;
			}
			int before = requests(record, setup);
			record.line("before: " + before + " of " + ROUTERS + " requests answered");
			if (before < ROUTERS) {
				return 2;
			}
			if (Setup2.trouble()) {
				setup.store.put("servers", "x-other-writer", foreignEntry(bytes));
				record.line("another writer put servers/x-other-writer, an object of "
						+ setup.store.bytes("servers", "x-other-writer") + " bytes");
			}
			int[] ends = new int[ROUTERS];
			long endMs = record.nowMs() + WATCHED_MS;
			int sent = 0;
			int answered = 0;
			while (record.nowMs() < endMs) {
				for (int i = 0; i < ROUTERS; i++) {
					Router2 router = setup.routers.get(i);
					if (!router.alive()) {
						ends[i]++;
						record.line(router.name() + " has ended by itself, exit code " + router.exitCode()
								+ "; it is started again");
						router.logLines("OutOfMemory").forEach((line) -> record.line(router.name() + " wrote: " + line));
						router.start();
					}
				}
				sent += ROUTERS;
				answered += requests(record, setup);
				Thread.sleep(500);
			}
			int often = 0;
			for (int i = 0; i < ROUTERS; i++) {
				record.line(setup.routers.get(i).name() + " ended by itself " + ends[i] + " times");
				often += (ends[i] >= 3) ? 1 : 0;
			}
			record.line(answered + " of " + sent + " requests were answered with success");
			boolean broken = often >= 2 || answered == 0;
			record.line(broken ? "BROKEN Fault" : "held");
			return broken ? 1 : 0;
		}
	}

	/** An entry whose field address is of another type. */
	private static String foreignEntry(int bytes) {
		String start = "{\"service\":\"" + Setup2.SERVICE + "\",\"address\":";
		String end = ",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,"
				+ "\"born\":1764000000999,\"sequence\":1}";
		int depth = (bytes - start.length() - end.length() - 200) / 2;
		return start + "[".repeat(depth) + "]".repeat(depth) + end;
	}

	private static int requests(Record2 record, Setup2 setup) {
		int answered = 0;
		for (Router2 router : setup.routers) {
			String id = Setup2.newId();
			record.line("sent      " + id + " to " + router.name());
			try (Client2 client = new Client2(router.ip(), router.callers(), 2000)) {
				client.send(Setup2.request("GET", "/read/one", id, 1500, ""), new byte[0]);
				int status = client.answer().status();
				record.line("answered  " + id + " " + status);
				answered += (status == 200) ? 1 : 0;
			}
			catch (IOException ex) {
				record.line("no answer " + id + " " + ex.getMessage());
			}
		}
		return answered;
	}

}
