package io.whinjunction.forward;

import java.util.List;

/**
 * Crash history of one request, as exchanged between peer routers. Ages are relative to
 * the moment of sending, so that no common clock is needed. Immutable.
 *
 * @param fingerprint the fingerprint that the request shares with its repeats
 * @param crashes the upstreams that crashed under the request; empty if it has run
 * successfully since
 * @param ranWellAgeMs the time since the request was last seen to run successfully, in
 * milliseconds; -1 if it was not
 */
public record CrashHistory(RequestFingerprint fingerprint, List<Crash> crashes, long ranWellAgeMs) {

	public CrashHistory {
		crashes = List.copyOf(crashes);
	}

	/**
	 * Crash of an upstream. Immutable.
	 *
	 * @param upstream the incarnation of the upstream
	 * @param ageMs the time since the crash, in milliseconds
	 * @param running whether the upstream had begun to run the request and had returned
	 * no result
	 */
	public record Crash(String upstream, long ageMs, boolean running) {
	}

}
