package org.limpetgate.net.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests whose head a {@link HeadValidator} has found well-formed.
 * <p>
 * For an invalid head the decoder emits a {@link HeadValidator.Result} and discards all
 * further input.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private final DecoderInputFilter inputFilter;

	StrictRequestDecoder(int maxHeadBytes) {
		super(DecoderInputFilter.config(maxHeadBytes));
		this.inputFilter = new DecoderInputFilter(new HeadValidator(true, maxHeadBytes));
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.inputFilter.mayDecode(buffer, out)) {
			int from = out.size();
			super.decode(ctx, buffer, out);
			this.inputFilter.afterDecode(out, from);
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Keeps both headers, so that Headers.framingFault can reject the message.
	}

	/** Ignores all further input. */
	void discardInput() {
		this.inputFilter.discardInput();
	}

	/**
	 * Returns the number of bytes that were received and not yet decoded.
	 * @return the number of bytes
	 */
	int bufferedBytes() {
		return actualReadableBytes();
	}

}
