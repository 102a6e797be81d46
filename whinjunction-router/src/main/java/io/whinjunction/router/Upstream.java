package io.whinjunction.router;

import io.whinjunction.configuration.LayerRange;

/**
 * An upstream as listed by the platform. Immutable.
 * <p>
 * An upstream may restart under the same name, and then retains nothing from before.
 * State about an upstream is therefore kept by its {@link #incarnation()}; the name alone
 * is used only in messages to the upstream.
 *
 * @param id the name
 * @param bornMs when it started, in milliseconds since 1970; {@link #BORN_UNKNOWN} if it
 * does not report it
 * @param service the service that it belongs to
 * @param address {@code IP:PORT}
 * @param failureDomain the failure domain in which it runs
 * @param slots the number of requests that it processes concurrently
 * @param kind the kind of accelerator, or {@code null} for a plain service
 * @param held the layers that it holds, or {@code null}
 * @param leaving whether it accepts no new requests
 */
public record Upstream(String id, long bornMs, String service, String address, String failureDomain, int slots,
		String kind, LayerRange held, boolean leaving) {

	/** The start time of an upstream that does not report one. */
	public static final long BORN_UNKNOWN = -1;

	/** The service of routers, which no upstream belongs to. */
	private static final String ROUTERS = "";

	/**
	 * Creates the entry of a router that relays requests.
	 * @param name the name of the router
	 * @param address the address at which it takes requests of peers
	 * @param failureDomain its failure domain
	 * @return the entry
	 */
	static Upstream router(String name, String address, String failureDomain) {
		return new Upstream("router/" + name, BORN_UNKNOWN, ROUTERS, address, failureDomain, 0, null, null, false);
	}

	/**
	 * Returns whether this is a router that relays requests.
	 * @return {@code false} for an upstream of a service
	 */
	boolean isRouter() {
		return this.service.equals(ROUTERS);
	}

	/**
	 * Returns the identifier of this incarnation of the upstream.
	 * @return the name and the start time, or the name alone if the start time is unknown
	 */
	public String incarnation() {
		return (this.bornMs == BORN_UNKNOWN) ? this.id : this.id + "@" + this.bornMs;
	}

	/**
	 * Returns whether another entry or report belongs to an earlier incarnation.
	 * @param otherBornMs the start time in that entry or report
	 * @return {@code true} only if both times are known
	 */
	boolean bornAfter(long otherBornMs) {
		return this.bornMs != BORN_UNKNOWN && otherBornMs != BORN_UNKNOWN && this.bornMs > otherBornMs;
	}

	/**
	 * Returns the same upstream with another start time.
	 * @param otherBornMs the start time
	 * @return the upstream
	 */
	Upstream bornAt(long otherBornMs) {
		return new Upstream(this.id, otherBornMs, this.service, this.address, this.failureDomain, this.slots, this.kind,
				this.held, this.leaving);
	}

	/**
	 * Returns the upstream after a restart.
	 * @param newBornMs the new start time
	 * @param newHeld the layers that it holds since then, or {@code null}
	 * @return the new incarnation
	 */
	Upstream restarted(long newBornMs, LayerRange newHeld) {
		return new Upstream(this.id, newBornMs, this.service, this.address, this.failureDomain, this.slots, this.kind,
				newHeld, false);
	}

}
