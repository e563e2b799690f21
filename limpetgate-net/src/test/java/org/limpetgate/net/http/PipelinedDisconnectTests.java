package org.limpetgate.net.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the end of a caller's connection is noticed while requests wait on it. */
class PipelinedDisconnectTests {

	private static final String GET = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

	/** Guards against a host that waits on for a caller that has disconnected. */
	@Example
	void disconnectIsNoticedWithFewPipelinedRequests() throws Exception {
		assertThat(isCancelledAfterDisconnect(10)).isTrue();
	}

	/** Guards against the same while the connection is not read. */
	@Example
	void disconnectIsNoticedWithManyPipelinedRequests() throws Exception {
		assertThat(isCancelledAfterDisconnect(40)).isTrue();
	}

	private static boolean isCancelledAfterDisconnect(int requests) throws IOException, InterruptedException {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		BlockingQueue<CompletableFuture<HttpReply>> held = new LinkedBlockingQueue<>();
		HttpServer server = HttpServer.start(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				HttpServerLimits.defaults(), (call) -> {
					CompletableFuture<HttpReply> future = new CompletableFuture<>();
					held.add(future);
					return future;
				});
		try {
			RawConnection connection = RawConnection.open(server.address());
			connection.send(GET.repeat(requests));
			CompletableFuture<HttpReply> reply = held.take();
			Thread.sleep(300);
			connection.socket().setSoLinger(true, 0);
			connection.close();
			for (int i = 0; i < 100 && !reply.isCancelled(); i++) {
				Thread.sleep(20);
			}
			return reply.isCancelled();
		}
		finally {
			server.close();
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		}
	}

}
