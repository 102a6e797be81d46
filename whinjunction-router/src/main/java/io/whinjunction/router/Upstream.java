package io.whinjunction.router;

import io.whinjunction.configuration.LayerRange;

/**
 * An upstream as the platform lists it. Immutable.
 * <p>
 * It may start again under the name that it had, and then holds and knows nothing of
 * before. What is remembered of an upstream is therefore kept under its
 * {@link #incarnation()}; the name alone is only for what is sent to it.
 *
 * @param id its name
 * @param bornMs when it started, in milliseconds since 1970; {@link #BORN_UNKNOWN} where
 * it doesn't say
 * @param service the service it belongs to
 * @param address {@code IP:PORT}
 * @param failureDomain where it is
 * @param slots requests that it works on at once
 * @param kind its kind of accelerator, or {@code null} for a plain service
 * @param held the layers it holds, or {@code null}
 * @param leaving whether it takes no new requests
 */
public record Upstream(String id, long bornMs, String service, String address, String failureDomain, int slots,
		String kind, LayerRange held, boolean leaving) {

	/** The start of an upstream that doesn't say when it started. */
	public static final long BORN_UNKNOWN = -1;

	/**
	 * Names this start of the upstream.
	 * @return its name and the time of its start, or its name alone where that is unknown
	 */
	public String incarnation() {
		return (this.bornMs == BORN_UNKNOWN) ? this.id : this.id + "@" + this.bornMs;
	}

	/**
	 * Whether another entry or report tells of an earlier start of the same upstream.
	 * @param otherBornMs the time of the start that it tells of
	 * @return {@code true} only where both times are known
	 */
	boolean bornAfter(long otherBornMs) {
		return this.bornMs != BORN_UNKNOWN && otherBornMs != BORN_UNKNOWN && this.bornMs > otherBornMs;
	}

	/**
	 * The same upstream with the time of its start.
	 * @param otherBornMs the time
	 * @return the upstream
	 */
	Upstream bornAt(long otherBornMs) {
		return new Upstream(this.id, otherBornMs, this.service, this.address, this.failureDomain, this.slots, this.kind,
				this.held, this.leaving);
	}

	/**
	 * The upstream after it started again.
	 * @param newBornMs the time of the new start
	 * @param newHeld the layers it holds since, or {@code null}
	 * @return the new incarnation
	 */
	Upstream restarted(long newBornMs, LayerRange newHeld) {
		return new Upstream(this.id, newBornMs, this.service, this.address, this.failureDomain, this.slots, this.kind,
				newHeld, false);
	}

}
