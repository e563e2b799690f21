package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.channel.EventLoopGroup;
import picocli.CommandLine;

/**
 * Runs a {@link PlatformStandIn} as a process.
 */
@CommandLine.Command(name = "standin-platform", mixinStandardHelpOptions = true,
		description = "Runs a stand-in for the platform's log and host list. Its state ends with the process.")
public final class PlatformCommand extends StandInCommand {

	@CommandLine.Option(names = "--retention-seconds", defaultValue = "3600",
			description = "how long records are kept (default: ${DEFAULT-VALUE})")
	private long retentionSeconds;

	@CommandLine.Option(names = "--max-records", defaultValue = "1000000",
			description = "the most records that a stream keeps (default: ${DEFAULT-VALUE})")
	private int maxRecords;

	@CommandLine.Option(names = "--appends-per-second", defaultValue = "400",
			description = "the most appends in a second (default: ${DEFAULT-VALUE})")
	private int appendsPerSecond;

	@CommandLine.Option(names = "--sync-millis", defaultValue = "4",
			description = "the time from receiving an append to storing it (default: ${DEFAULT-VALUE})")
	private long syncMillis;

	@CommandLine.Option(names = "--host-list-lag-millis", defaultValue = "1000",
			description = "how far the host list lags behind (default: ${DEFAULT-VALUE})")
	private long hostListLagMillis;

	@Override
	RunningStandIn start(EventLoopGroup group, InetSocketAddress bind) {
		LogLimits limits = new LogLimits(Duration.ofSeconds(this.retentionSeconds), this.maxRecords,
				this.appendsPerSecond, Duration.ofMillis(this.syncMillis));
		PlatformStandIn platform = PlatformStandIn.start(group, bind, limits,
				Duration.ofMillis(this.hostListLagMillis));
		return new RunningStandIn(platform, platform.address());
	}

}
