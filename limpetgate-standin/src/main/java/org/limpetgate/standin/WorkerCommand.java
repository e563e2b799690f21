package org.limpetgate.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;
import picocli.CommandLine;

/**
 * Runs a {@link WorkerStandIn} in its own process.
 */
@CommandLine.Command(name = "standin-worker", mixinStandardHelpOptions = true,
		description = "Runs a stand-in for a worker, which runs tasks under leases.")
public final class WorkerCommand extends StandInCommand {

	@CommandLine.Option(names = "--id", required = true, description = "the id of the upstream")
	private String id;

	@CommandLine.Option(names = "--cores", defaultValue = "16",
			description = "number of cores (default: ${DEFAULT-VALUE})")
	private double cores;

	@CommandLine.Option(names = "--memory-mb", defaultValue = "32768",
			description = "memory in MB (default: ${DEFAULT-VALUE})")
	private long memoryMb;

	@CommandLine.Option(names = "--accelerators", defaultValue = "0",
			description = "number of accelerators (default: ${DEFAULT-VALUE})")
	private int accelerators;

	@CommandLine.Option(names = "--speed", defaultValue = "1",
			description = "relative speed; run times are divided by it (default: ${DEFAULT-VALUE})")
	private double speed;

	@CommandLine.Option(names = "--run-millis", defaultValue = "0",
			description = "run time in milliseconds of tasks whose body specifies none (default: ${DEFAULT-VALUE})")
	private long runMillis;

	@CommandLine.Option(names = "--usage-lag-millis", defaultValue = "1000",
			description = "lag of the reported resource usage in milliseconds (default: ${DEFAULT-VALUE})")
	private long usageLagMillis;

	@CommandLine.Option(names = "--clock-skew-millis", defaultValue = "2000",
			description = "bound on the clock skew in milliseconds (default: ${DEFAULT-VALUE})")
	private long clockSkewMillis;

	@CommandLine.Option(names = "--first",
			description = "declares that no earlier process ran as this worker, so that it accepts connections immediately")
	private boolean first;

	@Override
	RunningStandIn start(EventLoopGroup group, InetSocketAddress bind) throws InterruptedException {
		WorkerSettings settings = new WorkerSettings(UpstreamId.of(this.id),
				new Resources(this.cores, this.memoryMb, this.accelerators), this.speed,
				Duration.ofMillis(this.usageLagMillis), this.runMillis, Duration.ofMillis(this.clockSkewMillis),
				this.first);
		long startNanos = StandIns.epochNanos();
		if (!this.first) {
			// Leases issued earlier than twice the clock skew after the start cannot be
			// distinguished from those that an earlier process saw. Until then the worker
			// accepts no connections, which proves to holders that nothing started.
			TimeUnit.MILLISECONDS.sleep(2 * this.clockSkewMillis);
		}
		WorkerStandIn worker = WorkerStandIn.start(group, bind, settings, new StartCounter(), startNanos);
		return new RunningStandIn(worker, worker.address());
	}

}
