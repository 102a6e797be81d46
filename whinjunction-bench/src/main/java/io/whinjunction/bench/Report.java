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
 * Collects figures and checks bounds on them. Confined to one thread.
 */
final class Report {

	private final Map<String, Figure> figures = new LinkedHashMap<>();

	private final Map<String, String> bounds = new LinkedHashMap<>();

	private int brokenBounds;

	void put(String name, String unit, double value) {
		this.figures.put(name, new Figure(value, unit));
		System.out.printf(Locale.ROOT, "%-58s %12.3f %s%n", name, value, unit);
	}

	double value(String name) {
		return this.figures.get(name).value();
	}

	void atLeast(String name, double min) {
		bound(name, ">= " + min, value(name) >= min);
	}

	void atMost(String name, double max) {
		bound(name, "<= " + max, value(name) <= max);
	}

	void atMostTimes(String name, double factor, String baseline) {
		double max = factor * value(baseline);
		bound(name, "<= %.3f x %s".formatted(factor, baseline), value(name) <= max);
	}

	int brokenBounds() {
		return this.brokenBounds;
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

	private void bound(String name, String condition, boolean holds) {
		this.brokenBounds += holds ? 0 : 1;
		this.bounds.put(name, (holds ? "kept" : "BROKEN") + ": " + condition);
	}

	private record Figure(double value, String unit) {
	}

}
