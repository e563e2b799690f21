package org.limpetgate.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;

/**
 * Reports when the operating system has taken bytes of a message.
 * <p>
 * A failed write alone does not prove that nothing was sent, because the operating system
 * may have taken a part of the message before. Stands first in the pipeline, so that it
 * sees the encoded bytes.
 */
final class WriteProgress extends ChannelOutboundHandlerAdapter {

	private final Runnable progressed;

	WriteProgress(Runnable progressed) {
		this.progressed = progressed;
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
		ChannelProgressivePromise progressive = ctx.newProgressivePromise();
		progressive.addListener(new ChannelProgressiveFutureListener() {
			@Override
			public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
				if (progress > 0) {
					WriteProgress.this.progressed.run();
				}
			}

			@Override
			public void operationComplete(ChannelProgressiveFuture future) {
				if (future.isSuccess()) {
					WriteProgress.this.progressed.run();
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
