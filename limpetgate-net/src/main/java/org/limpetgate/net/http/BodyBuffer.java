package org.limpetgate.net.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.netty.buffer.ByteBuf;

/**
 * Buffers a body within the limit for one message and the limit for all messages
 * together.
 * <p>
 * Belongs to one connection; not thread-safe.
 */
final class BodyBuffer {

	private final BufferBudget budget;

	private final long maxBytes;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

	private long reserved;

	BodyBuffer(BufferBudget budget, long maxBytes) {
		this.budget = budget;
		this.maxBytes = maxBytes;
	}

	/**
	 * Reserves bytes other than those of the body, such as the head.
	 * @param count the number of bytes
	 * @return false if the limit for all messages is reached
	 */
	boolean reserve(long count) {
		if (!this.budget.tryReserve(count)) {
			return false;
		}
		this.reserved += count;
		return true;
	}

	Result append(ByteBuf content) {
		int count = content.readableBytes();
		if (this.bytes.size() + (long) count > this.maxBytes) {
			return Result.BODY_TOO_LARGE;
		}
		if (!reserve(count)) {
			return Result.BUDGET_EXHAUSTED;
		}
		try {
			content.readBytes(this.bytes, count);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return Result.APPENDED;
	}

	int size() {
		return this.bytes.size();
	}

	byte[] toByteArray() {
		return this.bytes.toByteArray();
	}

	// Passes the reservation to the calling method, which must release it.
	long detachReservation() {
		long detached = this.reserved;
		this.reserved = 0;
		return detached;
	}

	void release() {
		this.budget.release(detachReservation());
	}

	/** The result of appending to the body. */
	enum Result {

		/** The content was appended. */
		APPENDED,

		/** The body would exceed the limit for one message. */
		BODY_TOO_LARGE,

		/** The body would exceed the limit for all messages. */
		BUDGET_EXHAUSTED

	}

}
