package io.whinjunction.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.whinjunction.configuration.Json;
import tools.jackson.databind.JsonNode;

/**
 * Draws the throughput by policy as a bar chart.
 */
@Command(name = "plot", description = "Draws throughput by policy as SVG from the results")
public final class PlotCommand implements Runnable {

	private static final String[] POLICIES = { "random", "round-robin", "least-in-flight", "ours" };

	private static final int WIDTH = 480;

	private static final int ROW_HEIGHT = 28;

	private static final int LABEL_WIDTH = 130;

	@Option(name = "--results", title = "FOLDER", description = "Folder that contains throughput.json")
	@Required
	private String results;

	@Option(name = "--out", title = "FILE", description = "SVG file to write")
	@Required
	private String out;

	@Override
	public void run() {
		try {
			JsonNode figures = Json.MAPPER.readTree(Files.readString(Path.of(this.results, "throughput.json")))
				.path("figures");
			Files.writeString(Path.of(this.out), svg(figures));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String svg(JsonNode figures) {
		StringBuilder svg = new StringBuilder();
		int height = ROW_HEIGHT * (2 * POLICIES.length + 2);
		svg.append(
				"<svg xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" font-size=\"12\" width=\"%d\" height=\"%d\">%n"
					.formatted(WIDTH, height));
		int y = bars(svg, figures, "throughput.uniform.", "Uniform work: tokens/s as a part of the max-flow bound", 0);
		bars(svg, figures, "throughput.degraded.", "A tenth of the engines at a quarter of their rate, reports 2 s old",
				y);
		return svg.append("</svg>\n").toString();
	}

	private static int bars(StringBuilder svg, JsonNode figures, String prefix, String title, int top) {
		svg.append("<text x=\"4\" y=\"%d\" font-weight=\"bold\">%s</text>%n".formatted(top + 18, title));
		int y = top + ROW_HEIGHT;
		for (String policy : POLICIES) {
			double value = figures.path(prefix + policy).path("value").asDouble(0);
			int length = (int) (value * (WIDTH - LABEL_WIDTH - 60));
			String fill = policy.equals(Policies.OURS) ? "#2b6cb0" : "#a0aec0";
			svg.append("<text x=\"4\" y=\"%d\">%s</text>".formatted(y + 15, policy))
				.append("<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"18\" fill=\"%s\"/>".formatted(LABEL_WIDTH, y,
						length, fill))
				.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\">%.2f</text>%n", LABEL_WIDTH + length + 6,
						y + 14, value));
			y += ROW_HEIGHT;
		}
		return y;
	}

}
