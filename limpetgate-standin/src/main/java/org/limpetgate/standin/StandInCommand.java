package org.limpetgate.standin;

import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.cli.CliCommand;
import picocli.CommandLine;

/**
 * Base class of the commands that run a stand-in in its own process.
 * <p>
 * The process listens on the loopback address only. It ends on SIGTERM or after a maximum
 * run time, so that a forgotten process does not run forever.
 */
abstract class StandInCommand implements CliCommand {

	@CommandLine.Option(names = "--port", defaultValue = "0",
			description = "TCP port on the loopback address; 0 selects an ephemeral port (default: ${DEFAULT-VALUE})")
	private int port;

	@CommandLine.Option(names = "--threads", defaultValue = "2",
			description = "number of event loop threads (default: ${DEFAULT-VALUE})")
	private int threads;

	@CommandLine.Option(names = "--max-seconds", defaultValue = "3600",
			description = "maximum run time of the process in seconds (default: ${DEFAULT-VALUE})")
	private long maxSeconds;

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Starts the stand-in.
	 * @param group the event loops
	 * @param bind the address to listen on
	 * @return the stand-in and its address
	 * @throws InterruptedException if interrupted
	 */
	abstract RunningStandIn start(EventLoopGroup group, InetSocketAddress bind) throws InterruptedException;

	@Override
	public final Integer call() throws Exception {
		EventLoopGroup group = StandIns.newEventLoops(this.threads);
		CountDownLatch shutdownRequested = new CountDownLatch(1);
		CountDownLatch shutdownComplete = new CountDownLatch(1);
		Runtime.getRuntime()
			.addShutdownHook(
					new Thread(() -> requestShutdown(shutdownRequested, shutdownComplete), "standin-shutdown"));
		try {
			RunningStandIn running = start(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port));
			try (AutoCloseable standIn = running.standIn) {
				printAddress(running.address);
				shutdownRequested.await(this.maxSeconds, TimeUnit.SECONDS);
			}
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
			shutdownComplete.countDown();
		}
		return 0;
	}

	private static void requestShutdown(CountDownLatch shutdownRequested, CountDownLatch shutdownComplete) {
		shutdownRequested.countDown();
		try {
			shutdownComplete.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Scripts parse the port from this line.
	private void printAddress(InetSocketAddress address) {
		PrintStream out = System.out;
		out.println(this.spec.name() + " listening on " + address.getHostString() + ":" + address.getPort());
		out.flush();
	}

	/**
	 * A stand-in that has been started.
	 *
	 * @param standIn the stand-in
	 * @param address the address it listens on
	 */
	record RunningStandIn(AutoCloseable standIn, InetSocketAddress address) {
	}

}
