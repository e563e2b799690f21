package org.limpetgate.net.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Lets a decoder see a message head only after it is whole and well-formed.
 * <p>
 * Belongs to one connection; not thread-safe.
 */
final class MessageGate {

	/** Content is passed on in pieces of this size at most. */
	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	private final HeadInspector inspector;

	private boolean expectsHead = true;

	private boolean discarding;

	MessageGate(HeadInspector inspector) {
		this.inspector = inspector;
	}

	static HttpDecoderConfig config(int maxHeadBytes) {
		return new HttpDecoderConfig().setMaxInitialLineLength(maxHeadBytes)
			.setMaxHeaderSize(maxHeadBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES);
	}

	/**
	 * Tests whether the decoder may read on.
	 * @param buffer the received bytes
	 * @param out receives the verdict on a faulty head
	 * @return true if the decoder may read on
	 */
	boolean admit(ByteBuf buffer, List<Object> out) {
		if (this.discarding) {
			buffer.skipBytes(buffer.readableBytes());
			return false;
		}
		if (!this.expectsHead) {
			return true;
		}
		HeadInspector.Verdict verdict = this.inspector.inspect(buffer);
		if (verdict != null && verdict.fault() != null) {
			this.discarding = true;
			buffer.skipBytes(buffer.readableBytes());
			out.add(verdict);
		}
		return verdict == HeadInspector.Verdict.WELL_FORMED;
	}

	/**
	 * Notes what the decoder has produced.
	 * @param out the produced objects
	 * @param from the index of the first new one
	 */
	void decoded(List<Object> out, int from) {
		for (Object message : out.subList(from, out.size())) {
			if (message instanceof LastHttpContent) {
				this.expectsHead = true;
			}
			else if (message instanceof HttpMessage) {
				this.expectsHead = false;
			}
		}
	}

	void discardInput() {
		this.discarding = true;
	}

}
