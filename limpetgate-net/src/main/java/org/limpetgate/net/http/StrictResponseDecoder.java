package org.limpetgate.net.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes responses whose head a {@link HeadValidator} has found well-formed.
 * <p>
 * For an invalid head the decoder emits a {@link HeadValidator.Result} and discards all
 * further input.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private final DecoderInputFilter inputFilter;

	private boolean respondsToHead;

	StrictResponseDecoder(int maxHeadBytes) {
		super(DecoderInputFilter.config(maxHeadBytes));
		this.inputFilter = new DecoderInputFilter(new HeadValidator(false, maxHeadBytes));
	}

	/**
	 * Sets the method of the request that the next response belongs to.
	 * @param method the method
	 */
	void expectResponseTo(String method) {
		this.respondsToHead = method.equals("HEAD");
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
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.respondsToHead || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Keeps both headers, so that Headers.framingFault can reject the message.
	}

	/**
	 * Returns the number of bytes that were received and not yet decoded.
	 * @return the number of bytes
	 */
	int bufferedBytes() {
		return actualReadableBytes();
	}

}
