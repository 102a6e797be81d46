package io.whinjunction.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Stream;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.whinjunction.loss.Loss;
import io.whinjunction.loss.LossAnalyzer;

/**
 * Reports from router logs which requests were not served on time, and why. It contacts
 * no process, so that an incident can be analysed from its logs alone.
 */
@Command(name = "losses",
		description = "Reports from router logs why requests were not served on time; " + ExitCode.HELP)
public final class LossesCommand extends WhinCommand {

	/**
	 * The length of a timestamp such as {@code 2026-05-14T17:15:00.213Z} up to seconds.
	 */
	private static final int TIMESTAMP_SECONDS_LENGTH = 19;

	@Arguments(title = "FILE", description = "One or more router logs")
	private List<String> files = new ArrayList<>();

	@Option(name = "--by", title = "GROUP",
			description = "Group by cause, kind, domain, second or request; default cause")
	@AllowedRawValues(allowedValues = { "cause", "kind", "domain", "second", "request" })
	private String by = "cause";

	@Override
	ExitCode execute() {
		if (this.files.isEmpty()) {
			throw new UsageException("at least one router log is needed: whin losses FILE...");
		}
		LossAnalyzer account = new LossAnalyzer();
		for (String file : this.files) {
			read(account, file);
		}
		if (this.by.equals("request")) {
			printRows(List.of("time", "request", "kind", "cause", "domain", "evidence"), requests(account));
		}
		else {
			printRows(List.of(this.by, "losses", "of-100-requests"), groups(account));
		}
		return ExitCode.OK;
	}

	private static void read(LossAnalyzer account, String file) {
		try (Stream<String> lines = Files.lines(Path.of(file))) {
			lines.forEach(account::read);
		}
		catch (IOException ex) {
			throw new UsageException("cannot read " + file + ": " + ex.getMessage());
		}
	}

	private static List<Map<String, Object>> requests(LossAnalyzer account) {
		List<Map<String, Object>> rows = new ArrayList<>();
		for (Loss loss : account.losses()) {
			Map<String, Object> row = new LinkedHashMap<>();
			row.put("time", loss.time());
			row.put("request", loss.requestId());
			row.put("kind", loss.kind());
			row.put("cause", loss.cause());
			row.put("domain", loss.domain());
			row.put("evidence", loss.evidence());
			rows.add(row);
		}
		return rows;
	}

	private List<Map<String, Object>> groups(LossAnalyzer account) {
		Map<String, Integer> counts = new TreeMap<>();
		account.losses().forEach((loss) -> counts.merge(group().apply(loss), 1, Integer::sum));
		List<Map<String, Object>> rows = new ArrayList<>();
		counts.forEach((group, count) -> rows.add(row(group, count, account.requests())));
		rows.add(row("all", account.losses().size(), account.requests()));
		return rows;
	}

	private Map<String, Object> row(String group, int count, long requests) {
		Map<String, Object> row = new LinkedHashMap<>();
		row.put(this.by, group);
		row.put("losses", count);
		row.put("of-100-requests", "%.1f".formatted(100.0 * count / Math.max(1, requests)));
		return row;
	}

	private Function<Loss, String> group() {
		return switch (this.by) {
			case "kind" -> Loss::kind;
			case "domain" -> Loss::domain;
			case "second" ->
				(loss) -> loss.time().substring(0, Math.min(TIMESTAMP_SECONDS_LENGTH, loss.time().length()));
			default -> (loss) -> loss.cause().name();
		};
	}

}
