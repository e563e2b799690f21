package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.netty.channel.EventLoopGroup;
import picocli.CommandLine;

/**
 * Runs a {@link PlatformStandIn} in its own process.
 */
@CommandLine.Command(name = "standin-platform", mixinStandardHelpOptions = true,
		description = "Runs a stand-in for the platform's log and host list. Its state is kept in memory only.")
public final class PlatformCommand extends StandInCommand {

	@CommandLine.Option(names = "--retention-seconds", defaultValue = "3600",
			description = "retention time of records in seconds (default: ${DEFAULT-VALUE})")
	private long retentionSeconds;

	@CommandLine.Option(names = "--max-records", defaultValue = "1000000",
			description = "maximum number of records in a stream (default: ${DEFAULT-VALUE})")
	private int maxRecords;

	@CommandLine.Option(names = "--appends-per-second", defaultValue = "400",
			description = "maximum number of appends per second (default: ${DEFAULT-VALUE})")
	private int appendsPerSecond;

	@CommandLine.Option(names = "--sync-millis", defaultValue = "4",
			description = "delay between receiving and storing an append in milliseconds (default: ${DEFAULT-VALUE})")
	private long syncMillis;

	@CommandLine.Option(names = "--host-list-lag-millis", defaultValue = "1000",
			description = "lag of the host list in milliseconds (default: ${DEFAULT-VALUE})")
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
