package io.whinjunction.forward;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * The verdict that a part of prompts crashes upstreams. Immutable.
 *
 * @param part the part
 * @param alternatives parts that explain the same crashes; if there are any, only
 * requests that hold one of them too are refused
 */
public record PartVerdict(PromptPart part, List<PromptPart> alternatives) {

	private static final String PREFIX = "part-";

	private static final String SEPARATOR = ".";

	public PartVerdict {
		alternatives = alternatives.stream().sorted((one, other) -> Long.compare(one.value(), other.value())).toList();
	}

	/**
	 * Parses the format written by {@link #toString()}.
	 * @param text a name under which a verdict is recorded
	 * @return the verdict, or empty if the text is none
	 */
	public static Optional<PartVerdict> parse(String text) {
		if (!text.startsWith(PREFIX)) {
			return Optional.empty();
		}
		List<PromptPart> parts = new ArrayList<>();
		for (String part : text.substring(PREFIX.length()).split("\\" + SEPARATOR, -1)) {
			if (part.length() != Long.BYTES * 2 || !part.chars().allMatch(HexFormat::isHexDigit)) {
				return Optional.empty();
			}
			parts.add(new PromptPart(HexFormat.fromHexDigitsToLong(part)));
		}
		return Optional.of(new PartVerdict(parts.getFirst(), parts.subList(1, parts.size())));
	}

	/**
	 * Returns the name under which the verdict is recorded.
	 */
	@Override
	public String toString() {
		StringBuilder name = new StringBuilder(PREFIX).append(this.part);
		this.alternatives.forEach((alternative) -> name.append(SEPARATOR).append(alternative));
		return name.toString();
	}

}
