package org.limpetgate.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.limpetgate.Outcome;

/**
 * Converts replies to responses of Netty.
 * <p>
 * Invariant: each response has a final status, the length of its body and an outcome.
 * Without state, so safe for use by several threads.
 */
final class ResponseEncoder {

	/** Lower statuses are informational and do not end an exchange. */
	private static final int MIN_FINAL_STATUS = 200;

	private ResponseEncoder() {
	}

	/**
	 * Encodes a reply.
	 * @param call the request, null if it was refused before it was complete
	 * @param reply the reply
	 * @return the response
	 * @throws IllegalArgumentException if the status or a header cannot be sent
	 */
	static FullHttpResponse encode(HttpCall call, HttpReply reply) {
		if (reply.status() < MIN_FINAL_STATUS) {
			throw new IllegalArgumentException("status " + reply.status() + " does not end an exchange");
		}
		boolean isHead = call != null && call.method().equals("HEAD");
		ByteBuf content = isHead ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body());
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(reply.status()), content);
		Headers.addAll(reply.headers(), response.headers());
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
		if (!response.headers().contains(HeaderNames.OUTCOME)) {
			response.headers().set(HeaderNames.OUTCOME, Outcome.COMPLETE.text());
		}
		return response;
	}

}
