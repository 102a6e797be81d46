package io.whinjunction.forward;

import java.util.List;

/**
 * What a request has in common with others. Immutable.
 *
 * @param fingerprint shared with its repeats
 * @param parts the parts of its prompt that other requests may share, in order
 */
public record RequestIdentity(RequestFingerprint fingerprint, List<PromptPart> parts) {

	public RequestIdentity {
		parts = List.copyOf(parts);
	}

}
