package io.whinjunction.router;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;

/**
 * Addresses as {@code IP:PORT}. Stateless.
 */
public final class Addresses {

	private static final int MOST_PORT = 65_535;

	private static final int MOST_PORT_DIGITS = 5;

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
		return colon > 0 && NetUtil.isValidIpV4Address(text.substring(0, colon)) && validPort(text, colon + 1);
	}

	private static boolean validPort(String text, int from) {
		int digits = text.length() - from;
		if (digits < 1 || digits > MOST_PORT_DIGITS || text.charAt(from) == '0') {
			return false;
		}
		int port = 0;
		for (int index = from; index < text.length(); index++) {
			char digit = text.charAt(index);
			if (digit < '0' || digit > '9') {
				return false;
			}
			port = 10 * port + digit - '0';
		}
		return port <= MOST_PORT;
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

	/**
	 * Writes an address.
	 * @param address an address that is resolved
	 * @return the text that {@link #parse} reads
	 */
	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
