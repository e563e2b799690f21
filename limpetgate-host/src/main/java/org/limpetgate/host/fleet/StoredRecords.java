package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;
import org.limpetgate.fleet.JobLog;
import org.limpetgate.proto.AttemptsRecord;
import org.limpetgate.proto.JobProgressRecord;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.StepProgressRecord;
import org.limpetgate.proto.StoredJobRecord;
import org.limpetgate.proto.UsedWorkerRecord;
import org.limpetgate.scheduling.CrashHistory;
import org.limpetgate.scheduling.FailedRuns;
import org.limpetgate.scheduling.JobProgress;
import org.limpetgate.scheduling.StepProgress;
import org.limpetgate.scheduling.StoredChange;
import org.limpetgate.scheduling.StoredJob;
import org.limpetgate.scheduling.StoredSnapshot;
import org.limpetgate.scheduling.StoredState;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * Converts what is stored to and from records of the {@link JobLog}. A job has one record
 * with its specification, which is deleted when the job ends, and one with its progress.
 * A worker has one while it is used for stored jobs and the list of workers may not name
 * it.
 */
final class StoredRecords {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String SPECIFICATION_PREFIX = "job/";

	private static final String PROGRESS_PREFIX = "progress/";

	private static final String WORKER_PREFIX = "worker/";

	/** The empty value that deletes a key. */
	private static final byte[] TOMBSTONE = new byte[0];

	private StoredRecords() {
	}

	static List<JobLog.Entry> toRecords(StoredChange change) {
		if (change instanceof StoredChange.WorkerUsed used) {
			return List.of(new JobLog.Entry(WORKER_PREFIX + used.worker().id().value(),
					UsedWorkerRecords.toRecord(used.worker()).toByteArray()));
		}
		if (change instanceof StoredChange.WorkerReleased released) {
			return List.of(new JobLog.Entry(WORKER_PREFIX + released.worker().value(), TOMBSTONE));
		}
		return toRecords((StoredChange.OfJob) change);
	}

	private static List<JobLog.Entry> toRecords(StoredChange.OfJob change) {
		String id = change.job().value();
		if (change instanceof StoredChange.Accepted accepted) {
			StoredJobRecord record = StoredJobRecord.newBuilder()
				.setJob(JobMessages.toMessage(accepted.spec()))
				.setAcceptedMillis(accepted.acceptedMillis())
				.build();
			return List.of(new JobLog.Entry(SPECIFICATION_PREFIX + id, record.toByteArray()));
		}
		if (change instanceof StoredChange.Progressed progressed) {
			JobLog.Entry progress = new JobLog.Entry(PROGRESS_PREFIX + id,
					toRecord(progressed.progress()).toByteArray());
			return (progressed.progress().state() == StoredState.OPEN) ? List.of(progress)
					: List.of(progress, new JobLog.Entry(SPECIFICATION_PREFIX + id, TOMBSTONE));
		}
		return List.of(new JobLog.Entry(PROGRESS_PREFIX + id, TOMBSTONE));
	}

	private static JobProgressRecord toRecord(JobProgress progress) {
		JobProgressRecord.Builder record = JobProgressRecord.newBuilder()
			.setState(toState(progress.state()))
			.setEndedMillis(progress.endedMillis());
		for (StepProgress step : progress.steps()) {
			StepProgressRecord.Builder stepRecord = StepProgressRecord.newBuilder()
				.setDone(ByteString.copyFrom(step.done().toByteArray()))
				.putAllCheckpoints(step.checkpoints());
			step.failures().forEach((index, failures) -> {
				stepRecord.putFailures(index, failures.count());
				stepRecord.putFailedAttempts(index,
						AttemptsRecord.newBuilder().addAllAttempts(failures.attempts()).build());
			});
			step.crashes().forEach((index, history) -> stepRecord.putCrashes(index, CrashRecords.toRecord(history)));
			record.addSteps(stepRecord);
		}
		return record.build();
	}

	private static JobStatus.State toState(StoredState state) {
		return switch (state) {
			case OPEN -> JobStatus.State.RUNNING;
			case COMPLETED -> JobStatus.State.COMPLETED;
			case FAILED -> JobStatus.State.FAILED;
			case CANCELED -> JobStatus.State.CANCELED;
		};
	}

	/**
	 * Decodes all that is stored.
	 * @param records the newest value of each key
	 * @return the jobs and workers; records that cannot be decoded are logged and skipped
	 */
	static StoredSnapshot toSnapshot(Map<String, byte[]> records) {
		Map<String, StoredJobRecord> specifications = new HashMap<>();
		Map<String, JobProgress> progress = new HashMap<>();
		List<WorkerInfo> usedWorkers = new ArrayList<>();
		records.forEach((key, value) -> {
			try {
				if (key.startsWith(SPECIFICATION_PREFIX)) {
					specifications.put(key.substring(SPECIFICATION_PREFIX.length()), StoredJobRecord.parseFrom(value));
				}
				else if (key.startsWith(PROGRESS_PREFIX)) {
					progress.put(key.substring(PROGRESS_PREFIX.length()),
							toProgress(JobProgressRecord.parseFrom(value)));
				}
				else if (key.startsWith(WORKER_PREFIX)) {
					usedWorkers.add(UsedWorkerRecords.toInfo(UpstreamId.of(key.substring(WORKER_PREFIX.length())),
							UsedWorkerRecord.parseFrom(value)));
				}
			}
			catch (InvalidProtocolBufferException ex) {
				logger.atSevere().log("LG1322 STORED_JOB_UNREADABLE key=%s reason=%s", key, ex.getMessage());
			}
		});
		return new StoredSnapshot(toJobs(specifications, progress), usedWorkers);
	}

	private static List<StoredJob> toJobs(Map<String, StoredJobRecord> specifications,
			Map<String, JobProgress> progress) {
		Set<String> ids = new HashSet<>(specifications.keySet());
		ids.addAll(progress.keySet());
		List<StoredJob> jobs = new ArrayList<>(ids.size());
		for (String id : ids) {
			StoredJobRecord specification = specifications.get(id);
			jobs.add(new StoredJob(JobId.of(id),
					(specification != null) ? JobMessages.toSpec(specification.getJob()) : null,
					(specification != null) ? specification.getAcceptedMillis() : 0,
					progress.getOrDefault(id, JobProgress.NONE)));
		}
		return jobs;
	}

	private static JobProgress toProgress(JobProgressRecord record) {
		StoredState state = switch (record.getState()) {
			case COMPLETED -> StoredState.COMPLETED;
			case FAILED -> StoredState.FAILED;
			case CANCELED -> StoredState.CANCELED;
			case UNAVAILABLE, UNKNOWN, QUEUED, RUNNING, UNRECOGNIZED -> StoredState.OPEN;
		};
		List<StepProgress> steps = record.getStepsList().stream().map(StoredRecords::toProgress).toList();
		return new JobProgress(state, record.getEndedMillis(), steps);
	}

	private static StepProgress toProgress(StepProgressRecord record) {
		Map<Integer, CrashHistory> crashes = new HashMap<>();
		record.getCrashesMap().forEach((index, history) -> crashes.put(index, CrashRecords.toHistory(history)));
		Map<Integer, FailedRuns> failures = new HashMap<>();
		record.getFailuresMap()
			.forEach((index, count) -> failures.put(index, new FailedRuns(count, Set.copyOf(
					record.getFailedAttemptsOrDefault(index, AttemptsRecord.getDefaultInstance()).getAttemptsList()))));
		return new StepProgress(BitSet.valueOf(record.getDone().toByteArray()), failures, record.getCheckpointsMap(),
				crashes);
	}

}
