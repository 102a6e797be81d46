package io.whinjunction.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import io.whinjunction.configuration.Json;
import tools.jackson.databind.node.ObjectNode;

/**
 * Gathers figures and the bounds on them. Confined to one thread.
 */
final class Report {

	private final Map<String, Figure> figures = new LinkedHashMap<>();

	private final Map<String, String> bounds = new LinkedHashMap<>();

	private int broken;

	void put(String name, String unit, double value) {
		this.figures.put(name, new Figure(value, unit));
		System.out.printf(Locale.ROOT, "%-58s %12.3f %s%n", name, value, unit);
	}

	double value(String name) {
		return this.figures.get(name).value();
	}

	void atLeast(String name, double least) {
		bound(name, ">= " + least, value(name) >= least);
	}

	void atMost(String name, double most) {
		bound(name, "<= " + most, value(name) <= most);
	}

	void atMostTimes(String name, double factor, String baseline) {
		double most = factor * value(baseline);
		bound(name, "<= %.3f x %s".formatted(factor, baseline), value(name) <= most);
	}

	int brokenBounds() {
		return this.broken;
	}

	void write(Path file) {
		ObjectNode root = Json.object();
		ObjectNode figuresNode = root.putObject("figures");
		this.figures.forEach((name, figure) -> figuresNode.putObject(name)
			.put("value", Math.round(figure.value() * 1000) / 1000.0)
			.put("unit", figure.unit()));
		ObjectNode boundsNode = root.putObject("bounds");
		this.bounds.forEach(boundsNode::put);
		try {
			Files.createDirectories(file.getParent());
			Files.writeString(file, Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(root) + "\n");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void printBounds() {
		System.out.println();
		this.bounds.forEach((name, verdict) -> System.out.printf("%-58s %s%n", name, verdict));
	}

	private void bound(String name, String wanted, boolean kept) {
		this.broken += kept ? 0 : 1;
		this.bounds.put(name, (kept ? "kept" : "BROKEN") + ": " + wanted);
	}

	private record Figure(double value, String unit) {
	}

}
