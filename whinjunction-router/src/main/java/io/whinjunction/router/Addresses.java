package io.whinjunction.router;

import java.net.InetSocketAddress;

/**
 * Addresses as {@code IP:PORT}. Stateless.
 */
final class Addresses {

	private Addresses() {
	}

	/**
	 * Reads an address.
	 * @param text {@code IP:PORT}
	 * @return the address
	 * @throws IllegalArgumentException where it is none
	 */
	static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

}
