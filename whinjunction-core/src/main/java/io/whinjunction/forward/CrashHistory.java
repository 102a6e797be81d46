package io.whinjunction.forward;

import java.util.List;

/**
 * What routers tell each other of a request under which upstreams have ended. Ages are
 * those of the moment at which it is told, so that no common clock is needed. Immutable.
 *
 * @param fingerprint what the request has in common with its repeats
 * @param crashes the upstreams that ended under it; empty where it ran well since
 * @param ranWellAgeMs how long ago it was last seen to run well, in milliseconds; -1
 * where it wasn't
 */
public record CrashHistory(RequestFingerprint fingerprint, List<Crash> crashes, long ranWellAgeMs) {

	public CrashHistory {
		crashes = List.copyOf(crashes);
	}

	/**
	 * The end of an upstream. Immutable.
	 *
	 * @param upstream its incarnation
	 * @param ageMs how long ago it ended, in milliseconds
	 * @param running whether the request had begun to run there and had brought nothing
	 */
	public record Crash(String upstream, long ageMs, boolean running) {
	}

}
