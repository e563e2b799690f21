package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.WorkerReport.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of which stored jobs count as pending, and which as running. */
class BegunJobTests extends StoredJobFixture {

	private static final JobId JOB = JobId.of("1");

	/** Starts without an answer are unknown after this. */
	private static final long UNANSWERED_MILLIS = 6_000;

	/**
	 * Guards against a count that leaves out jobs of which nothing has run: their only
	 * worker has fallen silent and has answered no start.
	 */
	@Example
	void jobWhoseStartIsNotAnsweredIsPending() {
		startOnSilentWorker();
		assertPending(1, JobState.QUEUED);
		this.scheduler.startAnswered(starts().get(0), StartAnswer.UNKNOWN, this.nowNanos);
		advance(UNANSWERED_MILLIS);
		assertPending(1, JobState.QUEUED);
	}

	/**
	 * Guards against the same for a job whose starts the worker or the host rejects, or
	 * which another incarnation of the worker gets.
	 */
	@Example
	void jobWhoseStartIsRejectedIsPending() {
		for (StartAnswer answer : List.of(StartAnswer.REFUSED, StartAnswer.NOT_SENT, StartAnswer.NO_CAPACITY,
				StartAnswer.OTHER_INCARNATION, StartAnswer.LEASE_EXPIRED, StartAnswer.FENCED)) {
			reset();
			startOnSilentWorker();
			this.scheduler.startAnswered(starts().get(0), answer, this.nowNanos);
			advance(UNANSWERED_MILLIS);
			assertPending(1, JobState.QUEUED);
		}
	}

	/**
	 * Guards against a job that goes back from running to queued when its run is lost.
	 */
	@Example
	void jobStaysRunningAfterItsRunIsLost() {
		startOnSilentWorker();
		this.scheduler.startAnswered(starts().get(0), StartAnswer.STARTED, this.nowNanos);
		assertPending(0, JobState.RUNNING);
		tick();
		report(pollOf(UpstreamId.of("w1")), List.of(), List.of(ended(EndKind.LEASE_EXPIRED)));
		assertPending(0, JobState.RUNNING);
	}

	/**
	 * Guards against a job that counts as pending although its worker has listed its run,
	 * or the end of one, after the answer to the start was lost.
	 */
	@Example
	void jobWhoseRunOrEndIsListedIsNotPending() {
		for (EndKind kind : List.of(EndKind.LEASE_EXPIRED, EndKind.STOPPED, EndKind.FAILED)) {
			reset();
			startOnSilentWorker();
			this.scheduler.startAnswered(starts().get(0), StartAnswer.UNKNOWN, this.nowNanos);
			tick();
			report(pollOf(UpstreamId.of("w1")), List.of(), List.of(ended(kind)));
			assertPending(0, JobState.RUNNING);
		}
		reset();
		startOnSilentWorker();
		this.scheduler.startAnswered(starts().get(0), StartAnswer.UNKNOWN, this.nowNanos);
		tick();
		report(pollOf(UpstreamId.of("w1")), List.of(starts().get(0).run()), List.of());
		assertPending(0, JobState.RUNNING);
	}

	/** Guards against a gang that counts as pending although a member has started. */
	@Example
	void gangIsPendingUntilAMemberHasStarted() {
		activate("w1", "w2");
		submit(JOB.value(), gangStep(2));
		save();
		assertThat(starts()).hasSize(2);
		assertPending(1, JobState.QUEUED);
		this.scheduler.startAnswered(starts().get(0), StartAnswer.UNKNOWN, this.nowNanos);
		this.scheduler.startAnswered(starts().get(1), StartAnswer.STARTED, this.nowNanos);
		assertPending(0, JobState.RUNNING);
	}

	/**
	 * Guards against a job that goes back from running to queued at a handover although
	 * the store has what its runs left.
	 */
	@Example
	void restoredJobIsRunningIfTheStoreShowsARun() {
		CrashHistory crash = CrashHistory.NONE.withCrash(CrashHistory.Evidence.SHARED);
		CrashHistory loss = CrashHistory.NONE.withLoss(loss(CrashHistory.Evidence.ALONE));
		List<StepProgress> shown = List.of(progress(Map.of(0, FailedRuns.NONE.plus(1)), Map.of(), Map.of()),
				progress(Map.of(), Map.of(0, "cp"), Map.of()), progress(Map.of(), Map.of(), Map.of(0, crash)),
				progress(Map.of(), Map.of(), Map.of(0, loss)));
		for (StepProgress progress : shown) {
			restore(progress);
			assertPending(0, JobState.RUNNING);
		}
		CrashHistory unconfirmed = CrashHistory.NONE.withCrash(CrashHistory.Evidence.UNCONFIRMED)
			.withLoss(loss(CrashHistory.Evidence.UNCONFIRMED));
		restore(progress(Map.of(), Map.of(), Map.of(0, unconfirmed)));
		assertPending(1, JobState.QUEUED);
	}

	/** Guards against a job that counts as pending although its run was adopted. */
	@Example
	void restoredJobIsRunningOnceItsRunIsAdopted() {
		restore(StepProgress.NONE);
		assertPending(1, JobState.QUEUED);
		tick();
		report(pollOf(UpstreamId.of("w1")), List.of(new RunId(new TaskName(JOB, 0, 0, 0), 3)), List.of());
		assertPending(0, JobState.RUNNING);
	}

	/**
	 * Guards against a refusal of a job that an unanswered order may have started: its
	 * caller would be told that it never runs.
	 */
	@Example
	void bestEffortJobWhoseStartIsNotAnsweredIsNotRefused() {
		activate("w1");
		long endNanos = this.nowNanos + UNANSWERED_MILLIS * MILLI;
		JobSpec spec = spec(JOB.value(), step());
		this.scheduler.submit(HOST,
				new JobSpec(spec.id(), spec.queue(), spec.service(), spec.terms(), spec.payload(), spec.steps()), 0,
				5_000 * MILLI, EarlierSubmission.NONE, this.nowNanos);
		tick();
		SchedulingEffect.StartRun start = starts().get(0);
		this.scheduler.startAnswered(start, StartAnswer.UNKNOWN, this.nowNanos);
		tick();
		this.scheduler.stopAnswered(start.worker().id(), start.run(), true, this.nowNanos);
		tick();
		report(pollOf(start.worker().id()), List.of(), List.of());
		for (int answered = 1; this.nowNanos < endNanos; advance(100)) {
			for (; answered < starts().size(); answered++) {
				this.scheduler.startAnswered(starts().get(answered), StartAnswer.REFUSED, this.nowNanos);
			}
		}
		assertThat(effectsOf(SchedulingEffect.JobEnded.class)).extracting(SchedulingEffect.JobEnded::outcome)
			.containsExactly(JobOutcome.ABANDONED);
	}

	// Submits a stored job and orders the start of its task on a worker that does not
	// answer.
	private void startOnSilentWorker() {
		activate("w1");
		submit(JOB.value(), step());
		save();
		assertThat(starts()).hasSize(1);
	}

	private static StepSpec step() {
		return new StepSpec(1, new Capacity(6_800, 64, 0), 100 * MILLI, List.of(), "", "", 0);
	}

	private void assertPending(int jobs, JobState state) {
		assertThat(this.scheduler.pendingJobs("q")).isEqualTo(jobs);
		assertThat(this.scheduler.state(JOB)).contains(state);
	}

	private WorkerReport.Ended ended(EndKind kind) {
		return new WorkerReport.Ended(1, starts().get(0).run(), kind, "");
	}

	private static StepProgress progress(Map<Integer, FailedRuns> failures, Map<Integer, String> checkpoints,
			Map<Integer, CrashHistory> crashes) {
		return new StepProgress(new BitSet(), failures, checkpoints, crashes);
	}

	private CrashHistory.Loss loss(CrashHistory.Evidence evidence) {
		return new CrashHistory.Loss(UpstreamId.of("w9"), InetSocketAddress.createUnresolved("w9", 1), 1, evidence,
				this.nowNanos);
	}

	// Lets a new scheduler read the job from the store.
	private void restore(StepProgress progress) {
		reset();
		this.scheduler.workersListed(List.of(worker("w1")), true, this.nowNanos);
		this.scheduler.activate(FencingToken.create(this.nowNanos, 7, FencingToken.NONE), this.nowNanos);
		JobProgress saved = new JobProgress(StoredState.OPEN, 0, List.of(progress));
		StoredJob job = new StoredJob(JOB, spec(JOB.value(), step()), this.nowNanos / MILLI, saved);
		this.scheduler.loadStoredJobs(new StoredSnapshot(List.of(job), List.of()), this.nowNanos);
	}

}
