package io.whinjunction.router;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;

/**
 * Addresses in the form {@code IP:PORT}. Stateless.
 */
public final class Addresses {

	private static final int MAX_PORT = 65_535;

	private static final int MAX_PORT_DIGITS = 5;

	private Addresses() {
	}

	/**
	 * Returns whether a text is an address. Host names are not accepted, since a name
	 * lookup would block the event loop.
	 * @param text the text
	 * @return whether {@link #parse} accepts the text
	 */
	public static boolean valid(String text) {
		int colon = (text != null) ? text.indexOf(':') : -1;
		return colon > 0 && NetUtil.isValidIpV4Address(text.substring(0, colon)) && validPort(text, colon + 1);
	}

	private static boolean validPort(String text, int from) {
		int digits = text.length() - from;
		if (digits < 1 || digits > MAX_PORT_DIGITS || text.charAt(from) == '0') {
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
		return port <= MAX_PORT;
	}

	/**
	 * Parses an address.
	 * @param text a text that is {@link #valid}
	 * @return the address
	 * @throws IllegalArgumentException if the port is missing or not a number
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * Formats an address.
	 * @param address a resolved address
	 * @return the text, in the form that {@link #parse} accepts
	 */
	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
