package io.whinjunction.forward;

import java.util.List;

/**
 * Crash history of one part of prompts, as exchanged between peer routers. Ages are
 * relative to the moment of sending, so that no common clock is needed. Immutable.
 *
 * @param part the part
 * @param crashes the upstreams that crashed under requests with the part; empty if one
 * has run successfully since
 * @param ranWellAgeMs the time since the latest start of a request with the part that ran
 * successfully, in milliseconds; -1 if none did
 * @param restored the verdict of earlier routers, if the part was restored
 */
public record PartHistory(PromptPart part, List<Crash> crashes, long ranWellAgeMs, Restored restored) {

	public PartHistory {
		crashes = List.copyOf(crashes);
	}

	/**
	 * Crash of an upstream under a request with the part. Immutable.
	 *
	 * @param upstream the incarnation of the upstream
	 * @param ageMs the time since the crash, in milliseconds
	 * @param sentAgeMs the time since the request was sent to the upstream, in
	 * milliseconds
	 * @param begun whether the upstream had begun to answer the request
	 * @param request the fingerprint of the request
	 */
	public record Crash(String upstream, long ageMs, long sentAgeMs, boolean begun, RequestFingerprint request) {
	}

	/**
	 * A verdict that earlier routers recorded. Immutable.
	 *
	 * @param ageMs the time since the verdict was read, in milliseconds; -1 if the part
	 * was not restored
	 * @param alternatives the parts that explain the same crashes
	 */
	public record Restored(long ageMs, List<PromptPart> alternatives) {

		/** The part was not restored. */
		public static final Restored NONE = new Restored(-1, List.of());

		public Restored {
			alternatives = List.copyOf(alternatives);
		}

	}

}
