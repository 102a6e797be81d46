
/**
 * Another writer puts one entry into the list of servers that lacks fields which each
 * entry of a server has, and names layers that the model does not have.
 */
final class Case6 {

	private static final int ROUTERS = 3;

	private static final long WATCHED_MS = 20_000;

	public static void main(String[] args) {
		Setup2.play(args[0], Case6::run);
	}

	private static int run(Record2 record, Setup2 setup) throws Exception {
		try (setup) {
			setup.store.put("config", "main", Model2.configuration());
			for (int i = 1; i <= 2; i++) {
				String id = "i-000000" + i;
				setup.addServer(id, (head, in, out) -> Setup2.answer(head, in, out, record, id));
			}
			for (int i = 1; i <= 3; i++) {
				Model2.addServer(record, setup, "i-00000a" + i);
			}
			if (!setup.startRouters(ROUTERS)) {
				record.line("the routers did not become ready");
				return 2;
			}
			Thread.sleep(3000);
			Model2.Counts before = new Model2.Counts();
			Model2.requests(record, setup, before);
			record.line("before: " + before);
			if (!before.allServed()) {
				return 2;
			}
			if (Setup2.trouble()) {
				String entry = "{\"service\":\"" + Model2.SERVICE
						+ "\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"slots\":134,\"state\":\"ready\","
						+ "\"kind\":\"h200\",\"layers\":[{\"from\":100,\"target\":120}]}";
				setup.store.put("servers", "x-other-writer", entry);
				record.line("another writer put servers/x-other-writer " + entry);
			}
			Thread.sleep(4000);
			Model2.Counts counts = new Model2.Counts();
			long endMs = record.nowMs() + WATCHED_MS;
			while (record.nowMs() < endMs) {
				Model2.requests(record, setup, counts);
				Thread.sleep(200);
			}
			record.line(counts.toString());
			record.line(counts.starved() ? "BROKEN Starved" : "held");
			return counts.starved() ? 1 : 0;
		}
	}

}
