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
	 * Bytes of one event, or of comments and empty lines in a row, from which on the
	 * stream is invalid: an event is buffered here completely, and upstreams send none
	 * that comes near this size.
	 */
	static final int MAX_EVENT_BYTES = 1 << 20;

	/** The largest buffer that is kept between two events, in bytes. */
	private static final int MAX_IDLE_BYTES = 4096;

	/** The bytes of {@code id:}. */
	private static final int ID_FIELD_BYTES = 3;

	private static final int USUAL_ID_BYTES = 16;

	private final ByteBuf pending = Unpooled.buffer(0);

	private byte[] lastId = new byte[USUAL_ID_BYTES];

	/** -1 before the first id. */
	private int lastIdBytes = -1;

	private int events;

	/** How far the incomplete event was examined, from its first byte. */
	private int examinedBytes;

	/** Where its last, incomplete line begins. */
	private int lineAt;

	/** Where its id begins, and ends; -1 if it has none yet. */
	private int idAt = -1;

	private int idEnd;

	/** Whether it has a line that is neither empty nor a comment. */
	private boolean hasField;

	/** Bytes since the end of the last event that had a field. */
	private int emptyBytes;

	/**
	 * Takes in bytes.
	 * @param content the bytes received
	 * @return all events that are complete now, owned by the caller, maybe a part of the
	 * content; {@code null} if there are none
	 */
	ByteBuf take(ByteBuf content) {
		if (this.pending.isReadable()) {
			this.pending.writeBytes(content);
			return takePending();
		}
		int completeBytes = completeBytes(content);
		ByteBuf complete = (completeBytes > 0) ? content.readRetainedSlice(completeBytes) : null;
		if (content.isReadable()) {
			this.pending.writeBytes(content);
		}
		return complete;
	}

	private ByteBuf takePending() {
		int completeBytes = completeBytes(this.pending);
		if (completeBytes == 0) {
			return null;
		}
		ByteBuf complete = Unpooled.copiedBuffer(this.pending.readSlice(completeBytes));
		this.pending.discardReadBytes();
		shrink();
		return complete;
	}

	private void shrink() {
		if (!this.pending.isReadable() && this.pending.capacity() > MAX_IDLE_BYTES) {
			this.pending.clear().capacity(0);
		}
	}

	/**
	 * Returns what an incomplete event takes.
	 * @return bytes
	 */
	int heldBytes() {
		return this.pending.capacity();
	}

	/**
	 * Whether the bytes taken in since the last event are too many to belong to a stream
	 * of events.
	 * @return whether an event, or what separates two of them, is larger than
	 * {@link #MAX_EVENT_BYTES}
	 */
	boolean oversized() {
		return this.pending.readableBytes() > MAX_EVENT_BYTES || this.emptyBytes > MAX_EVENT_BYTES;
	}

	/** Drops the incomplete event, before another upstream resumes the stream. */
	void dropPartial() {
		this.pending.clear();
		shrink();
		beginEvent();
		this.examinedBytes = 0;
		this.lineAt = 0;
		this.emptyBytes = 0;
	}

	private void beginEvent() {
		this.idAt = -1;
		this.hasField = false;
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
		return (this.lastIdBytes >= 0) ? new String(this.lastId, 0, this.lastIdBytes, StandardCharsets.US_ASCII).trim()
				: null;
	}

	/**
	 * Returns how many events were complete so far.
	 * @return the count
	 */
	int events() {
		return this.events;
	}

	// Goes on where the last call ended, so that each byte is examined once.
	private int completeBytes(ByteBuf source) {
		int first = source.readerIndex();
		int writer = source.writerIndex();
		int end = first;
		int lastIdAt = -1;
		int lastIdEnd = -1;
		int at = first + this.lineAt;
		int lineEnd = source.indexOf(first + this.examinedBytes, writer, (byte) '\n');
		while (lineEnd >= 0) {
			int length = lineEnd - at;
			if (length == 0 || (length == 1 && source.getByte(at) == '\r')) {
				this.emptyBytes = this.hasField ? 0 : this.emptyBytes + lineEnd + 1 - end;
				end = lineEnd + 1;
				this.events++;
				if (this.idAt >= 0) {
					lastIdAt = first + this.idAt;
					lastIdEnd = first + this.idEnd;
				}
				beginEvent();
			}
			else {
				this.hasField |= source.getByte(at) != ':';
				if (this.idAt < 0 && isId(source, at, length)) {
					this.idAt = at + ID_FIELD_BYTES - first;
					this.idEnd = lineEnd - first;
				}
			}
			at = lineEnd + 1;
			lineEnd = source.indexOf(at, writer, (byte) '\n');
		}
		if (lastIdAt >= 0) {
			recordId(source, lastIdAt, lastIdEnd - lastIdAt);
		}
		int completeBytes = end - first;
		this.idAt = (this.idAt >= 0) ? this.idAt - completeBytes : -1;
		this.idEnd -= completeBytes;
		this.lineAt = at - end;
		this.examinedBytes = writer - end;
		return completeBytes;
	}

	private static boolean isId(ByteBuf source, int at, int length) {
		return length > ID_FIELD_BYTES && source.getByte(at) == 'i' && source.getByte(at + 1) == 'd'
				&& source.getByte(at + 2) == ':';
	}

	private void recordId(ByteBuf source, int at, int length) {
		if (length > this.lastId.length) {
			this.lastId = new byte[length];
		}
		source.getBytes(at, this.lastId, 0, length);
		this.lastIdBytes = length;
	}

}
