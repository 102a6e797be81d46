package io.whinjunction.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Identifies a part of a prompt that several requests may share, whoever sends them. The
 * same part counts separately for each service and model, since these run it differently.
 * Immutable.
 *
 * @param value the identifier
 */
public record PromptPart(long value) {

	/**
	 * Computes the identifier of a part.
	 * @param service the service that runs the prompt
	 * @param model the model; empty if the request names none
	 * @param id the id of the part as sent by callers
	 * @return the identifier
	 */
	public static PromptPart of(String service, String model, String id) {
		return new PromptPart(
				Checksum.of(ByteBuffer.wrap(String.join("\n", service, model, id).getBytes(StandardCharsets.UTF_8))));
	}

	@Override
	public String toString() {
		return HexFormat.of().toHexDigits(this.value);
	}

}
