package org.limpetgate.scheduling;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of where {@link Scheduler} starts the tasks of stored jobs: steps that have
 * traits, workers whose capacity changes, and large tasks.
 */
class StoredJobPlacementTests extends StoredJobFixture {

	/**
	 * Guards against starvation: a steady load of small jobs would use up all capacity in
	 * which a large task of an overdue job could start.
	 */
	@Example
	void largeTaskIsNotStarvedBySmallOnes() {
		activate("w1", "w2");
		IntStream.range(0, 8).forEach((number) -> submit("s" + number, smallStep(1)));
		submit("large", new StepSpec(1, new Capacity(15_000, 64, 0), 100 * MILLI, List.of(), "", "", 0));
		save();
		int next = 8;
		for (int round = 0; round < 40 && !isStarted("large"); round++) {
			advance(200);
			List<SchedulingEffect.StartRun> started = starts();
			reportEnd(started.get(Math.min(round, started.size() - 1)).run(), EndKind.DONE);
			submit("s" + next++, smallStep(1));
			save();
		}
		assertThat(isStarted("large")).isTrue();
	}

	// --- gangs

	/** Guards against members of a gang that occupy capacity while others have none. */
	@Example
	void gangStartsCompletelyOrNotAtAll() {
		activate("w1");
		submit("1", gangStep(3));
		save();
		assertThat(starts()).isEmpty();
		this.scheduler.workersListed(List.of(worker("w1"), worker("w2")), true, this.nowNanos);
		tick();
		report(lastPoll(), List.of(), List.of());
		assertThat(starts()).hasSize(3);
		assertThat(starts()).extracting((start) -> start.run().attempt()).containsOnly(1);
	}

	/** Guards against a gang whose members run under different attempts. */
	@Example
	void gangRestartsWithOneAttemptAndCheckpoint() {
		activate("w1");
		submit("1", gangStep(2));
		save();
		List<RunId> members = starts().stream().map(SchedulingEffect.StartRun::run).toList();
		report(lastPoll(), List.of(members.get(1)),
				List.of(new WorkerReport.Ended(1, members.get(0), EndKind.FAILED, "cp")));
		assertThat(effectsOf(SchedulingEffect.StopRun.class)).extracting(SchedulingEffect.StopRun::run)
			.containsExactly(members.get(1));
		assertThat(starts()).hasSize(2);
		save();
		advance(20);
		report(lastPoll(), List.of(),
				List.of(new WorkerReport.Ended(2, members.get(1), EndKind.GANG_MEMBER_ENDED, "")));
		assertThat(starts()).hasSize(4);
		assertThat(starts().subList(2, 4)).allSatisfy((start) -> {
			assertThat(start.run().attempt()).isEqualTo(2);
			assertThat(start.checkpoint()).isEqualTo("cp");
		});
	}

	/**
	 * Guards against a gang that runs again because the ends of some members are not
	 * reported yet.
	 */
	@Example
	void completionOfOneMemberCompletesTheGang() {
		activate("w1");
		submit("1", gangStep(2));
		save();
		reportEnd(0, EndKind.DONE);
		save();
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.COMPLETED);
	}

	// --- capacity that changes

	/**
	 * Guards against a worker that is given more than its capacity after it has shrunk.
	 */
	@Example
	void workerWhoseCapacityHasShrunkGetsNoMoreThanItHolds() {
		activate("w1");
		submit("1", smallStep(1));
		save();
		listWithCpu(7_000);
		submit("2", smallStep(2));
		save();
		assertThat(starts()).hasSize(1);
		reportEnd(0, EndKind.DONE);
		save();
		assertThat(starts()).hasSize(2);
		listWithCpu(16_000);
		assertThat(starts()).hasSize(3);
	}

	/** Guards against runs on a worker whose capacity is already exceeded. */
	@Example
	void workerWithMoreRunsThanItsCapacityGetsNone() {
		activate("w1");
		submit("1", smallStep(2));
		save();
		listWithCpu(5_000);
		submit("2", new StepSpec(1, new Capacity(0, 64, 0), 100 * MILLI, List.of(), "", "", 0));
		save();
		assertThat(starts()).hasSize(2);
	}

	/** Guards against a gang that gets more capacity than its workers still have. */
	@Example
	void gangGetsNoMoreThanAShrunkenWorkerHolds() {
		activate("w1");
		listWithCpu(13_000);
		submit("1", gangStep(2));
		save();
		assertThat(starts()).isEmpty();
		listWithCpu(14_000);
		assertThat(starts()).hasSize(2);
	}

	// --- perpetual and filler tasks

	/**
	 * Guards against a perpetual task that is not restarted, and against one whose
	 * restarts use up the limit of failed runs.
	 */
	@Example
	void perpetualTasksAreRestartedHoweverTheyEnd() {
		activate("w1");
		submit("1", stepWith(StepTrait.PERPETUAL));
		save();
		for (EndKind kind : List.of(EndKind.FAILED, EndKind.DONE, EndKind.FAILED, EndKind.LEASE_EXPIRED,
				EndKind.FAILED)) {
			int before = starts().size();
			reportEnd(starts().get(before - 1).run(), kind);
			advance(2000);
			assertThat(starts()).hasSize(before + 1);
		}
		assertThat(this.scheduler.state(JobId.of("1"))).contains(JobState.RUNNING);
	}

	/** Guards against filler tasks that slow down the answers to users. */
	@Example
	void fillerTasksDoNotShareAWorkerWithTasksThatServeUsers() {
		activate("w1", "w2");
		submit("1", new StepSpec(1, new Capacity(1000, 64, 0), 100 * MILLI, List.of(), "", "", 0, 40, Set.of()));
		save();
		submit("2", new StepSpec(4, new Capacity(0, 64, 0), 100 * MILLI, List.of(), "", "", 0, 0,
				Set.of(StepTrait.FILLER)));
		save();
		UpstreamId servingWorker = starts().get(0).worker().id();
		assertThat(starts()).hasSize(5);
		assertThat(starts().subList(1, 5)).noneMatch((start) -> start.worker().id().equals(servingWorker));
	}

	// --- helpers

	private boolean isStarted(String job) {
		return starts().stream().anyMatch((start) -> start.run().task().job().value().equals(job));
	}

	private void listWithCpu(int cpuMillis) {
		this.scheduler.workersListed(List.of(worker("w1", new Capacity(cpuMillis, 32_768, 0))), true, this.nowNanos);
		tick();
	}

	private static StepSpec smallStep(int count) {
		return new StepSpec(count, new Capacity(4_000, 64, 0), 100 * MILLI, List.of(), "", "", 0);
	}

	private static StepSpec stepWith(StepTrait... traits) {
		return new StepSpec(1, new Capacity(6_800, 64, 0), 100 * MILLI, List.of(), "", "", 0, 0, Set.of(traits));
	}

}
