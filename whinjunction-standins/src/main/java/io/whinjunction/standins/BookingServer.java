package io.whinjunction.standins;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.whinjunction.http.server.Exchange;
import io.whinjunction.http.server.Handler;
import io.whinjunction.http.server.Reply;
import io.whinjunction.http.server.Request;

/**
 * A plain service that books slots and counts how often each action ran. Thread-safe.
 */
public final class BookingServer implements Handler {

	private static final long ANSWER_DELAY_MS = 3000;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final AtomicReference<Fault> nextFault = new AtomicReference<>(Fault.NONE);

	/**
	 * Sets the fault of the next booking.
	 * @param fault the fault
	 */
	public void nextFault(Fault fault) {
		this.nextFault.set(fault);
	}

	/**
	 * Returns how often a slot was booked.
	 * @param slot the slot
	 * @return the number of runs
	 */
	public int runs(String slot) {
		AtomicInteger count = this.runs.get(slot);
		return (count != null) ? count.get() : 0;
	}

	@Override
	public void handle(Exchange exchange) throws Exception {
		Request request = exchange.request();
		if (request.path().startsWith("/faults/")) {
			nextFault(Fault.valueOf(request.path().substring(8).toUpperCase(Locale.ROOT).replace('-', '_')));
			exchange.reply(Reply.json(200, "{}"));
		}
		else if (request.method().equals("POST") && request.path().equals("/bookings")) {
			book(exchange, request.text().strip());
		}
		else if (request.method().equals("GET") && request.path().startsWith("/bookings/")) {
			String slot = request.path().substring(10);
			exchange.reply(Reply.json(200, "{\"slot\":\"" + slot + "\",\"runs\":" + runs(slot) + "}"));
		}
		else {
			exchange.reply(Reply.json(404, "{}"));
		}
	}

	private void book(Exchange exchange, String slot) throws InterruptedException {
		Fault fault = this.nextFault.getAndSet(Fault.NONE);
		int run = this.runs.computeIfAbsent(slot, (key) -> new AtomicInteger()).incrementAndGet();
		switch (fault) {
			case NONE -> exchange
				.reply(Reply.json(201, "{\"confirmed\":\"" + slot + "\",\"run\":" + run + "}").with("x-booking", slot));
			case BREAK_AFTER_RUN -> exchange.abort();
			case SLOW_AFTER_RUN -> {
				Thread.sleep(ANSWER_DELAY_MS);
				exchange.reply(Reply.json(201, "{\"confirmed\":\"" + slot + "\",\"run\":" + run + "}"));
			}
		}
	}

	/**
	 * A fault of a booking.
	 */
	public enum Fault {

		/** No fault. */
		NONE,
		/** The action runs, then the connection breaks. */
		BREAK_AFTER_RUN,
		/** The action runs, and its answer is late. */
		SLOW_AFTER_RUN

	}

}
