package org.limpetgate.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.limpetgate.AttemptId;
import org.limpetgate.DispatchException;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;
import org.limpetgate.platform.LeaseId;
import org.limpetgate.platform.LeaseState;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerTask;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaseTable} with simulated time.
 */
class LeaseTableTests {

	private static final WorkerSettings SETTINGS = WorkerSettings.of(UpstreamId.of("w"));

	private static final Resources CORE = new Resources(1, 1, 0);

	private static final int NEW_LEASES = 2;

	/**
	 * The number of latest leases from which delayed requests are drawn; a worker no
	 * longer retains the oldest of them.
	 */
	private static final int DELAYED_LEASES = 100;

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Guards against a second start, a start after a proof that the task has not started,
	 * and such a proof after a start, under delayed and repeated requests and restarts.
	 * @param seed the seed of the run
	 */
	@Property(tries = 50, seed = "20")
	void leaseStartsAtMostOnceAndNeverAfterATombstone(@ForAll long seed) {
		Random random = new Random(seed);
		long now = 1_000_000 * SECOND;
		LeaseTable table = new LeaseTable(SETTINGS, now);
		Map<LeaseId, Integer> starts = new HashMap<>();
		Set<LeaseId> provedUnstarted = new HashSet<>();
		List<LeaseId> leases = new ArrayList<>();
		for (int step = 0; step < 2_000; step++) {
			now += (long) (random.nextDouble() * SECOND);
			if (leases.isEmpty() || random.nextInt(3) == 0) {
				long skew = (long) ((random.nextDouble() * 2 - 1) * SETTINGS.clockSkew().toNanos());
				leases.add(new LeaseId(Incarnation.of(HostId.of("e"), 1), AttemptId.of(step), now + skew));
			}
			int candidates = random.nextBoolean() ? NEW_LEASES : DELAYED_LEASES;
			LeaseId lease = leases.get(leases.size() - 1 - random.nextInt(Math.min(leases.size(), candidates)));
			if (random.nextInt(300) == 0) {
				table = new LeaseTable(SETTINGS.restarted(), now);
			}
			else if (random.nextInt(2) == 0) {
				start(table, lease, starts, provedUnstarted, random, now);
			}
			else if (table.stop(lease, now).state() == LeaseState.TOMBSTONE) {
				provedUnstarted.add(lease);
			}
		}
		assertThat(starts.values()).allMatch((count) -> count == 1);
		assertThat(provedUnstarted).isNotEmpty().doesNotContainAnyElementsOf(starts.keySet());
		assertThat(starts).isNotEmpty();
	}

	private static void start(LeaseTable table, LeaseId lease, Map<LeaseId, Integer> starts,
			Set<LeaseId> provedUnstarted, Random random, long now) {
		boolean seen = table.isSeen(lease);
		WorkerTask task = WorkerTask.of(new byte[1], CORE, now + (random.nextInt(4) - 1) * 10 * SECOND);
		try {
			LeaseStatus status = table.start(lease, task, new LeaseTable.SimulatedRun(5 * SECOND, false), 3 * SECOND,
					now);
			if (!seen) {
				starts.merge(lease, 1, Integer::sum);
			}
			if (status.state() == LeaseState.TOMBSTONE) {
				provedUnstarted.add(lease);
			}
		}
		catch (DispatchException ex) {
			if (ex.outcome() == Outcome.NOT_RUN) {
				provedUnstarted.add(lease);
			}
		}
	}

	/**
	 * Guards against tasks that end in the wrong state or at the wrong time when several
	 * limits have passed at the same time, as after a pause of the worker.
	 */
	@Example
	void firstLimitDecidesAfterAPause() {
		assertThat(endOf(2, 3, 4)).isEqualTo(LeaseState.COMPLETE);
		assertThat(endOf(4, 2, 3)).isEqualTo(LeaseState.LAPSED);
		assertThat(endOf(4, 3, 2)).isEqualTo(LeaseState.STOPPED);
	}

	private static LeaseState endOf(long work, long lease, long deadline) {
		LeaseTable table = new LeaseTable(SETTINGS, 0);
		LeaseId id = LeaseId.of(Incarnation.of(HostId.of("e"), 1), AttemptId.of(1), 1);
		table.start(id, WorkerTask.of(new byte[0], CORE, 1 + deadline * SECOND),
				new LeaseTable.SimulatedRun(work * SECOND, false), lease * SECOND, 1);
		return table.status(id, 10 * SECOND).state();
	}

	/**
	 * Guards against throttled tasks that run at full speed and checkpoints that lose
	 * progress.
	 */
	@Example
	void throttleAndCheckpointCountWork() {
		LeaseTable table = new LeaseTable(SETTINGS, 0);
		Incarnation holder = Incarnation.of(HostId.of("e"), 1);
		LeaseId first = LeaseId.of(holder, AttemptId.of(1), 1);
		WorkerTask task = WorkerTask.of(new byte[0], CORE, 100 * SECOND);
		LeaseTable.SimulatedRun simulatedRun = new LeaseTable.SimulatedRun(4 * SECOND, false);
		table.start(first, task, simulatedRun, 100 * SECOND, 0);
		table.throttle(first, 0.5, 2 * SECOND);
		assertThat(table.nextWakeNanos()).isEqualTo(6 * SECOND);
		String checkpoint = table.checkpoint(first, 4 * SECOND);
		LeaseId second = LeaseId.of(holder, AttemptId.of(2), 1);
		table.start(second, task.withResumeFrom(checkpoint), simulatedRun, 100 * SECOND, 4 * SECOND);
		assertThat(table.nextWakeNanos()).isEqualTo(5 * SECOND);
		assertThat(table.usage(4 * SECOND).running()).isEqualTo(1);
		assertThat(table.usage(5 * SECOND).running()).isEqualTo(2);
	}

}
