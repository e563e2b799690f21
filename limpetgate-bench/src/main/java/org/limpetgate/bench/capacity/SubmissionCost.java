package org.limpetgate.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.Resources;
import org.limpetgate.SubmissionKey;
import org.limpetgate.host.submission.AnswerJson;
import org.limpetgate.host.submission.SubmissionJson;
import org.limpetgate.proto.ForwardSubmission;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.DataCentres;
import org.limpetgate.submission.Submission;
import org.limpetgate.submission.SubmissionEffect;
import org.limpetgate.submission.SubmissionSettings;
import org.limpetgate.submission.SubmissionSystem;
import org.limpetgate.submission.SubmittedTask;
import org.limpetgate.submission.TaskAnswer;
import org.limpetgate.submission.TaskResult;
import org.limpetgate.submission.TicketAuthority;

/**
 * Measures the memory of jobs and the cost of processing and forwarding them.
 */
final class SubmissionCost {

	private static final int[] JOB_COUNTS = { 5_000, 20_000, 60_000 };

	private static final int[] TASKS_PER_JOB = { 1, 61, 610 };

	private static final int[] RESULT_COUNTS = { 5_000, 20_000, 50_000 };

	private static final int RUNNING_JOBS = 100;

	private static final int BODY_BYTES = 200;

	/** The length prefix of a frame. */
	private static final int FRAME_LENGTH_BYTES = 4;

	private static final CallerId CALLER = CallerId.of("team-17");

	private static final byte[] BODY = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);

	private static final long NOW_NANOS = SampleData.EPOCH_NANOS;

	private static final long EXPIRY_NANOS = NOW_NANOS + TimeUnit.MINUTES.toNanos(5);

	private final long seed;

	SubmissionCost(long seed) {
		this.seed = seed;
	}

	List<Series> measure() {
		List<Series> series = new ArrayList<>();
		series.add(Series.measure("ended job, result dropped", "bytes", "job", JOB_COUNTS,
				(jobs) -> Meter.heapBytes(() -> {
					SubmissionSystem system = system();
					submitJobs(system, jobs, 1, true);
					system.tick(NOW_NANOS + SubmissionSettings.DEFAULT.resultRetentionNanos() + 1, (effect) -> {
					});
					return system;
				})));
		series.add(Series.measure("100 running jobs with bodies of 200 bytes", "bytes", "task of each job",
				TASKS_PER_JOB, (tasks) -> Meter.heapBytes(() -> {
					SubmissionSystem system = system();
					submitJobs(system, RUNNING_JOBS, tasks, false);
					return system;
				})));
		series.add(Series.measure("kept result of 200 bytes, jobs of one task", "bytes", "result", RESULT_COUNTS,
				(results) -> Meter.heapBytes(() -> {
					SubmissionSystem system = system();
					submitJobs(system, results, 1, true);
					return system;
				})));
		series.add(Series.measureTime("job of tickets: submit and start and end of all tasks", "task", TASKS_PER_JOB,
				this::jobNanos));
		series.add(Series.measure("forwarded submission frame", "bytes", "task", TASKS_PER_JOB,
				(tasks) -> encode(submission(tasks, 0)).length + FRAME_LENGTH_BYTES));
		series.add(Series.measureTime("forwarded submission encoded", "task", TASKS_PER_JOB, (tasks) -> {
			Submission submission = submission(tasks, 0);
			return Meter.nanos(() -> encode(submission));
		}));
		series.add(Series.measureTime("forwarded submission decoded", "task", TASKS_PER_JOB, (tasks) -> {
			byte[] frame = encode(submission(tasks, 0));
			return Meter.nanos(() -> decode(frame));
		}));
		series.add(Series.measure("answer in JSON", "bytes", "task", TASKS_PER_JOB,
				(tasks) -> AnswerJson.write(answer(tasks)).length));
		series.add(Series.measureTime("answer written", "task", TASKS_PER_JOB, (tasks) -> {
			Answer answer = answer(tasks);
			return Meter.nanos(() -> AnswerJson.write(answer));
		}));
		return series;
	}

	private SubmissionSystem system() {
		DataCentreId dataCentre = SampleData.dataCentre(0);
		byte[] secret = "a secret for the experiment".getBytes(StandardCharsets.US_ASCII);
		SubmissionSettings settings = SubmissionSettings.DEFAULT.withBounds(java.time.Duration.ofMinutes(2),
				Long.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);
		return new SubmissionSystem(SampleData.host(0, 0), DataCentres.of(dataCentre, List.of(dataCentre)), settings,
				new TicketAuthority(SampleData.host(0, 0), secret), (submission) -> null, new Random(this.seed));
	}

	private static List<SubmittedTask> tasks(int count) {
		List<SubmittedTask> tasks = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			tasks.add(new SubmittedTask("task-" + i, "POST", "/team-17/work-" + i % 20,
					Map.of("content-type", "application/json"), BODY.clone(), SampleData.pool(0), false,
					new Resources(1, 512, 0), TimeUnit.MILLISECONDS.toNanos(300)));
		}
		return tasks;
	}

	private static Submission submission(int tasks, int number) {
		return Submission.of(CALLER, SubmissionKey.of("0f8a3c52-6d1e-4b7a-9c20-" + number), EXPIRY_NANOS, 1, true,
				tasks(tasks));
	}

	// Submits jobs and optionally ends their tasks.
	private static void submitJobs(SubmissionSystem system, int jobs, int tasks, boolean endTasks) {
		for (int i = 0; i < jobs; i++) {
			SubmissionKey key = system.issueTickets(CALLER, 1, NOW_NANOS).get(0).toKey();
			system.submit(i, Submission.of(CALLER, key, EXPIRY_NANOS, 1, true, tasks(tasks)), 0, NOW_NANOS);
			finish(system, endTasks);
		}
		int retained = system.counts().jobs();
		if (retained != jobs) {
			throw new IllegalStateException(retained + " of " + jobs + " jobs are retained");
		}
	}

	private static void finish(SubmissionSystem system, boolean endTasks) {
		system.tick(NOW_NANOS, (effect) -> {
			if (endTasks && effect instanceof SubmissionEffect.StartTasks start) {
				for (int task = 0; task < start.submission().tasks().size(); task++) {
					system.taskEnded(start.jobRunNumber(), task, TaskResult.complete(200, BODY.clone()), NOW_NANOS);
				}
			}
		});
		system.tick(NOW_NANOS, (effect) -> {
		});
	}

	private double jobNanos(int tasks) {
		SubmissionSystem[] system = { system() };
		int[] jobs = new int[1];
		List<SubmittedTask> submitted = tasks(tasks);
		return Meter.nanos(() -> {
			// A new system every 10,000 jobs bounds the memory of ended jobs.
			if (++jobs[0] % 10_000 == 0) {
				system[0] = system();
			}
			SubmissionKey key = system[0].issueTickets(CALLER, 1, NOW_NANOS).get(0).toKey();
			system[0].submit(jobs[0], Submission.of(CALLER, key, EXPIRY_NANOS, 1, true, submitted), 0, NOW_NANOS);
			finish(system[0], true);
		});
	}

	private static byte[] encode(Submission submission) {
		return PeerFrame.newBuilder()
			.setProtocolVersion(1)
			.setCorrelationId(1_000_000)
			.setForwardSubmission(ForwardSubmission.newBuilder()
				.setCaller(submission.caller().value())
				.setKey(submission.key().value())
				.setBody(ByteString.copyFrom(SubmissionJson.write(submission)))
				.setHops(1))
			.build()
			.toByteArray();
	}

	private static Submission decode(byte[] frame) {
		try {
			ForwardSubmission forward = PeerFrame.parseFrom(frame).getForwardSubmission();
			return SubmissionJson.read(CallerId.of(forward.getCaller()), forward.getBody().toByteArray());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Answer answer(int tasks) {
		List<TaskAnswer> answers = new ArrayList<>();
		for (int i = 0; i < tasks; i++) {
			answers.add(new TaskAnswer("task-" + i, TaskResult.complete(200, BODY)));
		}
		return Answer.complete(answers);
	}

}
