package io.whinjunction.router;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;

/**
 * Addresses as {@code IP:PORT}. Stateless.
 */
public final class Addresses {

	private static final int MOST_PORT = 65_535;

	private Addresses() {
	}

	/**
	 * Whether a text is an address; names are none, since nothing here may wait for a
	 * lookup.
	 * @param text what was said
	 * @return whether {@link #parse} can read it
	 */
	public static boolean valid(String text) {
		int colon = (text != null) ? text.indexOf(':') : -1;
		return colon > 0 && NetUtil.isValidIpV4Address(text.substring(0, colon))
				&& text.substring(colon + 1).matches("[1-9][0-9]{0,4}")
				&& Integer.parseInt(text.substring(colon + 1)) <= MOST_PORT;
	}

	/**
	 * Reads an address.
	 * @param text a text that is {@link #valid}
	 * @return the address
	 * @throws IllegalArgumentException where there is no port
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
