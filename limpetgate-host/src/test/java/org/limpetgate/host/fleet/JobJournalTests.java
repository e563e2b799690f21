package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.fleet.JobLog;
import org.limpetgate.proto.JobProgressRecord;
import org.limpetgate.proto.StepProgressRecord;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.CrashHistory;
import org.limpetgate.scheduling.FailedRuns;
import org.limpetgate.scheduling.JobProgress;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.QueueTerms;
import org.limpetgate.scheduling.StepProgress;
import org.limpetgate.scheduling.StepSpec;
import org.limpetgate.scheduling.StepTrait;
import org.limpetgate.scheduling.StoredChange;
import org.limpetgate.scheduling.StoredJob;
import org.limpetgate.scheduling.StoredSnapshot;
import org.limpetgate.scheduling.StoredState;
import org.limpetgate.scheduling.WorkerInfo;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link JobJournal} over a fake log.
 */
class JobJournalTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final FakeJobLog log = new FakeJobLog();

	private final RecordingListener listener = new RecordingListener();

	private long now = TimeUnit.DAYS.toNanos(21_000);

	private final JobJournal journal = new JobJournal(this.log, () -> this.now, this.listener);

	private static JobSpec spec(String id) {
		StepSpec step = new StepSpec(3, new Capacity(500, 64, 1), 40 * NANOS_PER_MILLI, List.of(), "gpu", "r1", 2, 30,
				Set.of(StepTrait.GANG, StepTrait.CHECKPOINTED));
		return new JobSpec(JobId.of(id), "q", "service", new QueueTerms(1, 2, 1.6, 60 * NANOS_PER_MILLI), "payload",
				List.of(step), true);
	}

	private static StoredChange accepted(String id) {
		return new StoredChange.Accepted(spec(id), 7000);
	}

	private void open(long epoch) {
		this.journal.open(epoch);
		this.log.answerAll();
	}

	private void advance(long millis) {
		this.now += millis * NANOS_PER_MILLI;
		this.journal.tick(this.now);
	}

	/** Guards against reading the jobs while an earlier writer may still change them. */
	@Example
	void earlierWritersAreFencedBeforeReading() {
		this.journal.open(5);
		assertThat(this.log.calls).hasSize(1);
		assertThat(this.listener.opened).isNull();
		this.log.answerNext();
		assertThat(this.log.epoch).isEqualTo(5);
		assertThat(this.listener.opened).isNull();
		this.log.answerNext();
		assertThat(this.listener.opened).isEmpty();
	}

	/** Guards against parts of a job being lost when it is saved and read again. */
	@Example
	void jobsAreReadAsTheyWereSaved() {
		open(1);
		BitSet done = new BitSet();
		done.set(2);
		JobProgress progress = new JobProgress(StoredState.OPEN, 0, List.of(new StepProgress(done,
				Map.of(0, FailedRuns.NONE.plus(3).plus(1)), Map.of(1, "cp"), Map.of(0, crashes()))));
		this.journal.save(1, accepted("a"));
		this.journal.save(2, new StoredChange.Progressed(JobId.of("a"), progress));
		this.journal.save(3, accepted("b"));
		this.journal.save(4,
				new StoredChange.Progressed(JobId.of("b"), new JobProgress(StoredState.FAILED, 9000, List.of())));
		this.journal.save(5, accepted("c"));
		this.journal.save(6,
				new StoredChange.Progressed(JobId.of("c"), new JobProgress(StoredState.CANCELED, 9000, List.of())));
		this.journal.save(7, new StoredChange.Removed(JobId.of("c")));
		this.log.answerAll();
		open(2);
		assertThat(this.listener.opened).containsExactlyInAnyOrder(
				new StoredJob(JobId.of("a"), spec("a"), 7000, progress),
				new StoredJob(JobId.of("b"), null, 0, new JobProgress(StoredState.FAILED, 9000, List.of())));
	}

	private static CrashHistory crashes() {
		long lostNanos = TimeUnit.MILLISECONDS.toNanos(8000);
		return CrashHistory.NONE.withCrash(CrashHistory.Evidence.ALONE)
			.withCrash(CrashHistory.Evidence.UNCONFIRMED)
			.withLoss(new CrashHistory.Loss(UpstreamId.of("w1"), InetSocketAddress.createUnresolved("10.0.0.1", 8045),
					4000, CrashHistory.Evidence.ALONE, lostNanos))
			.withLoss(new CrashHistory.Loss(UpstreamId.of("w2"), InetSocketAddress.createUnresolved("10.0.0.2", 8045),
					5000, CrashHistory.Evidence.SHARED, lostNanos))
			.withLoss(new CrashHistory.Loss(UpstreamId.of("w3"), InetSocketAddress.createUnresolved("10.0.0.3", 8045),
					6000, CrashHistory.Evidence.UNCONFIRMED, lostNanos));
	}

	/** Guards against records of an earlier version that cannot be read any more. */
	@Example
	void progressWithoutCrashesIsRead() {
		StepProgressRecord earlier = StepProgressRecord.newBuilder().putFailures(0, 1).build();
		byte[] record = JobProgressRecord.newBuilder().addSteps(earlier).build().toByteArray();
		List<StoredJob> jobs = StoredRecords.toSnapshot(Map.of("progress/a", record)).jobs();
		assertThat(jobs).singleElement()
			.extracting((job) -> job.progress().steps())
			.isEqualTo(List
				.of(new StepProgress(new BitSet(), Map.of(0, new FailedRuns(1, Set.of())), Map.of(), Map.of())));
	}

	/**
	 * Guards against a used worker that the next owner reads with another address,
	 * incarnation or service, or that it reads although its record was deleted.
	 */
	@Example
	void usedWorkersAreReadAsTheyWereSaved() {
		WorkerInfo used = worker("w1");
		open(1);
		this.journal.save(1, new StoredChange.WorkerUsed(used));
		this.journal.save(2, new StoredChange.WorkerUsed(worker("w2")));
		this.journal.save(3, new StoredChange.WorkerReleased(UpstreamId.of("w2")));
		this.log.answerAll();
		open(2);
		assertThat(this.listener.openedWorkers).containsExactly(used);
	}

	private static WorkerInfo worker(String id) {
		return new WorkerInfo(UpstreamId.of(id), 4000, "service", new InetSocketAddress("10.0.0.1", 8045),
				DataCentreId.of("dc"), new Capacity(4000, 64, 1), Set.of("a", "r1-1"), true);
	}

	/** Guards against a separate call to the store for each change. */
	@Example
	void pendingChangesAreSavedInOneAppend() {
		open(1);
		for (int number = 1; number <= 50; number++) {
			this.journal.save(number, accepted("j" + number));
		}
		assertThat(this.log.calls).hasSize(1);
		this.log.answerNext();
		assertThat(this.listener.saved).containsExactly(1L);
		this.log.answerNext();
		assertThat(this.listener.saved).containsExactly(1L, 50L);
		assertThat(this.log.appendCount).isEqualTo(2);
	}

	/** Guards against saving a change twice or losing it when an answer is lost. */
	@Example
	void unansweredAppendIsRetried() {
		open(1);
		this.journal.save(1, accepted("a"));
		this.journal.save(2, accepted("b"));
		this.log.loseNextAnswer();
		assertThat(this.listener.saved).isEmpty();
		advance(30);
		assertThat(this.log.calls).isEmpty();
		advance(40);
		this.log.failNext();
		advance(70);
		this.log.answerAll();
		assertThat(this.listener.saved).containsExactly(1L, 2L);
		assertThat(this.log.appendCount).isEqualTo(2);
	}

	/** Guards against a host that continues to save after another one has taken over. */
	@Example
	void fencedWriterSavesNothing() {
		open(1);
		this.log.epoch = 2;
		this.journal.save(1, accepted("a"));
		this.log.answerNext();
		assertThat(this.listener.fenced).isTrue();
		assertThat(this.journal.isClosed()).isTrue();
		this.journal.save(2, accepted("b"));
		assertThat(this.log.calls).isEmpty();
		assertThat(this.log.records).isEmpty();
	}

	/** Guards against mistaking a late answer for that of a request after reopening. */
	@Example
	void answersFromBeforeCloseAreIgnored() {
		open(1);
		this.journal.save(1, accepted("a"));
		this.journal.close();
		this.log.answerAll();
		assertThat(this.listener.saved).isEmpty();
	}

	/**
	 * Guards against releasing the stored jobs on the first append, because the log
	 * counts the fencing request as an append of the epoch.
	 */
	@Example
	void firstAppendUsesTheSequenceThatTheLogExpects() {
		open(1);
		this.log.nextSequence = 1;
		this.journal.save(1, accepted("a"));
		this.log.answerAll();
		assertThat(this.listener.saved).containsExactly(1L);
	}

	/**
	 * Guards against a journal that hangs because it appends nothing before it is open.
	 */
	@Example
	void sequenceErrorBeforeTheJournalIsOpenEndsTheEpoch() {
		this.journal.open(5);
		this.log.failNext(new JobLog.SequenceException(3));
		assertThat(this.log.calls).isEmpty();
		assertThat(this.listener.fenced).isTrue();
	}

	/** Guards against dating a confirmation from the arrival of its answer. */
	@Example
	void ownershipIsConfirmedAsOfTheRequest() {
		open(1);
		long requestedNanos = this.now;
		this.journal.confirmOwnership();
		advance(300);
		this.log.answerNext();
		assertThat(this.journal.ownershipConfirmedNanos()).isEqualTo(requestedNanos);
	}

	private static final class RecordingListener implements JobJournal.Listener {

		private List<StoredJob> opened;

		private List<WorkerInfo> openedWorkers;

		private final List<Long> saved = new ArrayList<>();

		private boolean fenced;

		@Override
		public void opened(StoredSnapshot stored) {
			this.opened = stored.jobs();
			this.openedWorkers = stored.usedWorkers();
		}

		@Override
		public void saved(long sequence) {
			this.saved.add(sequence);
		}

		@Override
		public void fenced(String reason) {
			this.fenced = true;
		}

	}

}
