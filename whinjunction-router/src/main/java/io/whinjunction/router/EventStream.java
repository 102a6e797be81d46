package io.whinjunction.router;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts an event stream into whole events and knows the last one's name.
 * <p>
 * The failure it is there for: an upstream stops in the middle of an event. What was
 * passed on of it could not be taken back, and the next run would repeat it. Only whole
 * events are handed out, so a stream can go on behind the last of them. Confined to the
 * event loop.
 */
final class EventStream {

	/** Larger events would be held here whole; none that upstreams make come near it. */
	private static final int MOST_EVENT_BYTES = 1 << 20;

	private final ByteBuf pending = Unpooled.buffer(512);

	private String lastId;

	private int events;

	/**
	 * Takes bytes.
	 * @param content what came
	 * @return all events that are whole now, owned by the caller; {@code null} for none
	 * @throws IllegalStateException where an event is larger than any real one
	 */
	ByteBuf take(ByteBuf content) {
		this.pending.writeBytes(content);
		int start = this.pending.readerIndex();
		int end = start;
		int next = eventEnd(start);
		while (next > 0) {
			noteId(end, next);
			end = next;
			next = eventEnd(end);
		}
		if (end == start) {
			if (this.pending.readableBytes() > MOST_EVENT_BYTES) {
				throw new IllegalStateException("an event of more than " + MOST_EVENT_BYTES + " bytes");
			}
			return null;
		}
		ByteBuf whole = Unpooled.copiedBuffer(this.pending.readSlice(end - start));
		this.pending.discardReadBytes();
		return whole;
	}

	/** Drops the event that was not finished, before another upstream goes on. */
	void dropPartial() {
		this.pending.clear();
	}

	/**
	 * Whether an event has begun and not ended.
	 * @return {@code true} where bytes are held
	 */
	boolean partial() {
		return this.pending.isReadable();
	}

	/**
	 * The name of the last whole event.
	 * @return the name, or {@code null}
	 */
	String lastId() {
		return this.lastId;
	}

	/**
	 * Whole events so far.
	 * @return how many
	 */
	int events() {
		return this.events;
	}

	private int eventEnd(int from) {
		int at = from;
		int writer = this.pending.writerIndex();
		while (at < writer) {
			int lineEnd = this.pending.indexOf(at, writer, (byte) '\n');
			if (lineEnd < 0) {
				return -1;
			}
			int length = lineEnd - at;
			boolean blank = length == 0 || (length == 1 && this.pending.getByte(at) == '\r');
			if (blank) {
				return lineEnd + 1;
			}
			at = lineEnd + 1;
		}
		return -1;
	}

	private void noteId(int from, int end) {
		this.events++;
		int at = from;
		while (at < end) {
			int lineEnd = this.pending.indexOf(at, end, (byte) '\n');
			if (lineEnd - at > 3 && this.pending.getByte(at) == 'i' && this.pending.getByte(at + 1) == 'd'
					&& this.pending.getByte(at + 2) == ':') {
				this.lastId = this.pending.toString(at + 3, lineEnd - at - 3, StandardCharsets.US_ASCII).trim();
				return;
			}
			at = lineEnd + 1;
		}
	}

}
