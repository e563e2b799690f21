package org.limpetgate.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;

/**
 * Event loops, addresses, the clock and helpers that the stand-ins share.
 */
public final class StandIns {

	private static final long CLOCK_OFFSET_NANOS = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis())
			- System.nanoTime();

	private StandIns() {
	}

	/**
	 * Creates event loops that stand-ins and clients can share.
	 * @param threads the number of threads, at least 1
	 * @return the event loops, which the caller must shut down, not null
	 */
	public static EventLoopGroup newEventLoops(int threads) {
		return new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
	}

	/**
	 * Returns the loopback address with an ephemeral port.
	 * @return the address, not null
	 */
	public static InetSocketAddress ephemeral() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
	}

	static long epochNanos() {
		return CLOCK_OFFSET_NANOS + System.nanoTime();
	}

	static <T> T parse(byte[] body, Class<T> type) {
		try {
			return StandInResponse.JSON.readValue(body, type);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException(
					"the body is not a valid " + type.getSimpleName() + ": " + ex.getMessage(), ex);
		}
	}

	static void runOn(EventExecutor loop, Runnable action) {
		if (loop.inEventLoop()) {
			action.run();
			return;
		}
		loop.submit(action).syncUninterruptibly();
	}

	static CompletableFuture<StandInResponse> callOn(EventExecutor loop,
			Callable<CompletableFuture<StandInResponse>> action) {
		CompletableFuture<StandInResponse> response = new CompletableFuture<>();
		loop.execute(() -> {
			try {
				action.call().whenComplete((value, error) -> {
					if (error != null) {
						response.completeExceptionally(error);
					}
					else {
						response.complete(value);
					}
				});
			}
			catch (IllegalArgumentException ex) {
				response.complete(StandInResponse.badRequest(ex.getMessage()));
			}
			catch (Exception ex) {
				response.completeExceptionally(ex);
			}
		});
		return response;
	}

}
