package org.limpetgate.standin;

import java.net.InetSocketAddress;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.UpstreamId;
import picocli.CommandLine;

/**
 * Runs a {@link RunnerStandIn} in its own process.
 */
@CommandLine.Command(name = "standin-runner", mixinStandardHelpOptions = true,
		description = "Runs a stand-in for a runner, which echoes the body of each request.")
public final class RunnerCommand extends StandInCommand {

	@CommandLine.Option(names = "--id", required = true, description = "the id of the upstream")
	private String id;

	@CommandLine.Option(names = "--slots", defaultValue = "8",
			description = "maximum number of concurrent requests (default: ${DEFAULT-VALUE})")
	private int slots;

	@CommandLine.Option(names = "--max-connections", defaultValue = "60",
			description = "maximum number of connections (default: ${DEFAULT-VALUE})")
	private int maxConnections;

	@CommandLine.Option(names = "--max-queued", defaultValue = "60",
			description = "maximum number of queued requests (default: ${DEFAULT-VALUE})")
	private int maxQueued;

	@CommandLine.Option(names = "--speed", defaultValue = "1",
			description = "relative speed; run times are divided by it (default: ${DEFAULT-VALUE})")
	private double speed;

	@CommandLine.Option(names = "--run-millis", defaultValue = "0",
			description = "run time in milliseconds of requests without X-Run-Millis (default: ${DEFAULT-VALUE})")
	private long runMillis;

	@Override
	RunningStandIn start(EventLoopGroup group, InetSocketAddress bind) {
		RunnerSettings settings = new RunnerSettings(UpstreamId.of(this.id), this.slots, this.maxConnections,
				this.maxQueued, this.speed, this.runMillis);
		RunnerStandIn runner = RunnerStandIn.start(group, bind, settings, new StartCounter());
		return new RunningStandIn(runner, runner.address());
	}

}
