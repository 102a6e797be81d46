package io.whinjunction.router;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits an event stream into complete events and tracks the id of the last one.
 * <p>
 * Guards against an upstream that stops in the middle of an event: the part that was
 * passed on could not be taken back, and the next run would repeat it. Only complete
 * events are returned, so a stream can resume after the last of them. Confined to the
 * event loop.
 */
final class EventStream {

	/**
	 * A larger event is an error, as it would be buffered here completely; upstreams send
	 * none that comes near this size.
	 */
	private static final int MAX_EVENT_BYTES = 1 << 20;

	private final ByteBuf pending = Unpooled.buffer(512);

	private String lastId;

	private int events;

	/**
	 * Takes in bytes.
	 * @param content the bytes received
	 * @return all events that are complete now, owned by the caller; {@code null} if
	 * there are none
	 * @throws IllegalStateException if an event is larger than the limit
	 */
	ByteBuf take(ByteBuf content) {
		this.pending.writeBytes(content);
		int start = this.pending.readerIndex();
		int end = start;
		int next = eventEnd(start);
		while (next > 0) {
			recordId(end, next);
			end = next;
			next = eventEnd(end);
		}
		if (end == start) {
			if (this.pending.readableBytes() > MAX_EVENT_BYTES) {
				throw new IllegalStateException("an event of more than " + MAX_EVENT_BYTES + " bytes");
			}
			return null;
		}
		ByteBuf complete = Unpooled.copiedBuffer(this.pending.readSlice(end - start));
		this.pending.discardReadBytes();
		return complete;
	}

	/** Drops the incomplete event, before another upstream resumes the stream. */
	void dropPartial() {
		this.pending.clear();
	}

	/**
	 * Whether an event has begun and is incomplete.
	 * @return {@code true} if bytes are buffered
	 */
	boolean partial() {
		return this.pending.isReadable();
	}

	/**
	 * Returns the id of the last complete event.
	 * @return the id, or {@code null}
	 */
	String lastId() {
		return this.lastId;
	}

	/**
	 * Returns how many events were complete so far.
	 * @return the count
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

	private void recordId(int from, int end) {
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
