package org.limpetgate.net.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Withholds received bytes from an HTTP decoder until they begin with a complete,
 * well-formed message head.
 * <p>
 * Belongs to one connection; not thread-safe.
 */
final class DecoderInputFilter {

	/** The largest content chunk that the decoder emits. */
	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	private final HeadValidator headValidator;

	private boolean expectsHead = true;

	private boolean discarding;

	DecoderInputFilter(HeadValidator headValidator) {
		this.headValidator = headValidator;
	}

	static HttpDecoderConfig config(int maxHeadBytes) {
		return new HttpDecoderConfig().setMaxInitialLineLength(maxHeadBytes)
			.setMaxHeaderSize(maxHeadBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES);
	}

	/**
	 * Tests whether the decoder may decode the buffer.
	 * @param buffer the received bytes
	 * @param out receives the validation result of a malformed or too large head
	 * @return true if the buffer begins with a valid head or with content
	 */
	boolean mayDecode(ByteBuf buffer, List<Object> out) {
		if (this.discarding) {
			buffer.skipBytes(buffer.readableBytes());
			return false;
		}
		if (!this.expectsHead) {
			return true;
		}
		HeadValidator.Result result = this.headValidator.validate(buffer);
		if (result != null && result.errorKind() != null) {
			this.discarding = true;
			buffer.skipBytes(buffer.readableBytes());
			out.add(result);
		}
		return result == HeadValidator.Result.WELL_FORMED;
	}

	/**
	 * Tracks from the decoder's output whether a head or content comes next.
	 * @param out the decoded objects
	 * @param from the index of the first new one
	 */
	void afterDecode(List<Object> out, int from) {
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
