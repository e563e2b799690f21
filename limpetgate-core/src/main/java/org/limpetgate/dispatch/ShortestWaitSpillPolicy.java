package org.limpetgate.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.limpetgate.DataCentreId;

/**
 * Forwards a task to another data centre if the expected wait there plus the round trip
 * and a margin is shorter than the local wait.
 * <p>
 * A digest is up to some hundred milliseconds old. The tasks forwarded since then are
 * counted as queued at that data centre, so that a whole burst is not forwarded to a data
 * centre that was idle.
 */
public final class ShortestWaitSpillPolicy implements SpillPolicy {

	private static final int MAX_HOPS = 1;

	/**
	 * Maximum age of a digest, in digest intervals. An older one is ignored, since the
	 * link or the data centre may be down.
	 */
	private static final int MAX_AGE_INTERVALS = 2;

	/** Minimum time saved that justifies the cost of the additional messages. */
	private static final long MARGIN_NANOS = 20_000_000L;

	private final long maxAgeNanos;

	private final Map<DataCentreId, ForwardedTasks> forwarded = new HashMap<>();

	private ShortestWaitSpillPolicy(long maxAgeNanos) {
		this.maxAgeNanos = maxAgeNanos;
	}

	/**
	 * Returns a policy.
	 * @param digestNanos the time between two digests of a data centre, in nanoseconds
	 * @return the policy, not null
	 */
	public static ShortestWaitSpillPolicy ofDigestInterval(long digestNanos) {
		return new ShortestWaitSpillPolicy(MAX_AGE_INTERVALS * digestNanos);
	}

	@Override
	public Optional<DataCentreId> destination(TaskRequest task, int hops, long localWaitNanos,
			List<RemotePoolState> remotes, long nowNanos) {
		if (hops >= MAX_HOPS) {
			return Optional.empty();
		}
		RemotePoolState best = null;
		double bestWait = localWaitNanos;
		for (RemotePoolState remote : remotes) {
			boolean usable = remote.pool().equals(task.pool()) && remote.tasksPerSecond() > 0
					&& nowNanos - remote.digestReceivedNanos() <= this.maxAgeNanos;
			double wait = usable ? expectedWaitAt(remote) : Double.POSITIVE_INFINITY;
			if (wait < bestWait) {
				best = remote;
				bestWait = wait;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		forwardedSinceDigest(best).count++;
		return Optional.of(best.dataCentre());
	}

	private double expectedWaitAt(RemotePoolState remote) {
		double waitOfForwarded = forwardedSinceDigest(remote).count / remote.tasksPerSecond() * 1e9;
		return remote.waitNanos() + waitOfForwarded + 2 * remote.oneWayNanos() + MARGIN_NANOS;
	}

	private ForwardedTasks forwardedSinceDigest(RemotePoolState remote) {
		ForwardedTasks state = this.forwarded.computeIfAbsent(remote.dataCentre(), (key) -> new ForwardedTasks());
		if (state.digestReceivedNanos != remote.digestReceivedNanos()) {
			state.digestReceivedNanos = remote.digestReceivedNanos();
			state.count = 0;
		}
		return state;
	}

	/**
	 * The number of tasks forwarded to a data centre since its last digest.
	 */
	private static final class ForwardedTasks {

		private long digestReceivedNanos = Long.MIN_VALUE;

		private int count;

	}

}
