package org.limpetgate.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;

/**
 * Reports when the operating system has accepted bytes of a message.
 * <p>
 * A failed write alone does not prove that nothing was sent, because the operating system
 * may have accepted a part of the message before. This handler must be first in the
 * pipeline, where it receives the encoded bytes.
 */
final class WriteProgress extends ChannelOutboundHandlerAdapter {

	private final Runnable onProgress;

	WriteProgress(Runnable onProgress) {
		this.onProgress = onProgress;
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
		ChannelProgressivePromise progressive = ctx.newProgressivePromise();
		progressive.addListener(new ChannelProgressiveFutureListener() {
			@Override
			public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
				if (progress > 0) {
					WriteProgress.this.onProgress.run();
				}
			}

			@Override
			public void operationComplete(ChannelProgressiveFuture future) {
				if (future.isSuccess()) {
					WriteProgress.this.onProgress.run();
					promise.trySuccess();
				}
				else {
					promise.tryFailure(future.cause());
				}
			}
		});
		ctx.write(message, progressive);
	}

}
