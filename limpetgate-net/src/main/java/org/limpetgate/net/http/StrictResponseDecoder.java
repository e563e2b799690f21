package org.limpetgate.net.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes answers whose head a {@link HeadInspector} has found well-formed.
 * <p>
 * A fault is passed on as a {@link HeadInspector.Verdict}; input after it is discarded.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private final MessageGate gate;

	private boolean answersHead;

	StrictResponseDecoder(int maxHeadBytes) {
		super(MessageGate.config(maxHeadBytes));
		this.gate = new MessageGate(new HeadInspector(false, maxHeadBytes));
	}

	/**
	 * Sets the method of the request that the next answer belongs to.
	 * @param method the method
	 */
	void expectAnswerTo(String method) {
		this.answersHead = method.equals("HEAD");
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.gate.admit(buffer, out)) {
			int from = out.size();
			super.decode(ctx, buffer, out);
			this.gate.decoded(out, from);
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.answersHead || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Keeps both headers, so that Headers.framingFault can refuse the message.
	}

	/**
	 * Returns the number of bytes that were received and not yet decoded.
	 * @return the number of bytes
	 */
	int bufferedBytes() {
		return actualReadableBytes();
	}

}
