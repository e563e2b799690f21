package org.limpetgate.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cases of {@link SubmissionSystemTests}: the runs and results of jobs.
 */
final class JobCases {

	private static final long SECOND = SubmissionFixture.SECOND;

	private JobCases() {
	}

	static void addTo(Map<String, Consumer<SubmissionFixture>> cases) {
		cases.put("a failed task fails the job, cancels the other tasks and reports the outcome of each", (f) -> {
			SubmissionEffect.StartTasks start = f.startJob(f.job(false, 1));
			f.system.taskEnded(start.jobRunNumber(), 1, f.result(Outcome.FAILED), f.now);
			f.tick();
			assertThat(f.cancels).isEqualTo(1);
			assertThat(f.answers).isEmpty();
			f.system.taskEnded(start.jobRunNumber(), 0, f.result(Outcome.NOT_RUN), f.now);
			assertThat(f.answer(1)).isEqualTo("failed TASK_FAILED");
			assertThat(f.answers.get(1L).tasks()).extracting((task) -> task.result().outcome())
				.containsExactly(Outcome.NOT_RUN, Outcome.FAILED);
			assertThat(f.answers.get(1L).message()).contains("task1");
		});
		Outcome[][] outcomeRows = { { Outcome.COMPLETE, Outcome.UNKNOWN, Outcome.UNKNOWN },
				{ Outcome.COMPLETE, Outcome.NOT_RUN, Outcome.FAILED },
				{ Outcome.FAILED, Outcome.UNKNOWN, Outcome.FAILED },
				{ Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.UNKNOWN },
				{ Outcome.NOT_RUN, Outcome.NOT_RUN, Outcome.NOT_RUN } };
		for (Outcome[] outcomes : outcomeRows) {
			cases.put("tasks " + outcomes[0] + " and " + outcomes[1] + " make the job " + outcomes[2], (f) -> {
				SubmissionEffect.StartTasks start = f.startJob(f.job(false, 2));
				f.system.taskEnded(start.jobRunNumber(), 0, f.result(outcomes[0]), f.now);
				f.system.taskEnded(start.jobRunNumber(), 1, f.result(outcomes[1]), f.now);
				f.system.taskEnded(start.jobRunNumber(), 1, f.result(Outcome.COMPLETE), f.now);
				assertThat(f.answer(1)).startsWith(outcomes[2].text());
				f.submit(2, f.job(false, 3));
				assertThat(f.starts).hasSize((outcomes[2] == Outcome.NOT_RUN) ? 2 : 1);
			});
		}
		cases.put("a late result of an earlier run has no effect on the next run", (f) -> {
			SubmissionEffect.StartTasks first = f.startJob(f.job(false, 1));
			f.endTasks(first, Outcome.NOT_RUN);
			f.submit(2, f.job(false, 2));
			f.completeTasks(first);
			assertThat(f.answers).doesNotContainKey(2L);
		});
		cases.put("an evicted result is never returned in part", (f) -> {
			f.completeTasks(f.startJob(f.job(false, 1)));
			f.advance(SubmissionSettings.DEFAULT.resultRetentionNanos() + SECOND);
			f.submit(2, f.job(false, 2));
			assertThat(f.answer(2)).isEqualTo("unknown UNKNOWN_SUBMISSION");
			assertThat(f.answers.get(2L).tasks()).isEmpty();
			assertThat(f.system.counts().resultBytes()).isZero();
		});
		cases.put("a cancelled job that has not started never starts", (f) -> {
			f.submit(1, f.job(false, 1));
			f.system.cancel(2, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now);
			assertThat(f.answer(1)).isEqualTo("not-run CANCELLED");
			f.storeAndRead(f.claims);
			f.submit(3, f.job(false, 2));
			assertThat(f.answer(3)).isEqualTo("not-run CANCELLED");
			assertThat(f.starts).isEmpty();
		});
		cases.put("many cancellations cause one effect for each open task", (f) -> {
			int jobs = 20_000;
			List<Ticket> tickets = new ArrayList<>();
			while (tickets.size() < jobs) {
				tickets.addAll(f.system.issueTickets(SubmissionFixture.CALLER, 1000, f.now));
			}
			tickets.forEach((ticket) -> f.system.submit(ticket.serial(), f.ticketJob(ticket), 0, f.now));
			tickets.forEach((ticket) -> f.system.cancel(jobs + ticket.serial(), SubmissionFixture.CALLER,
					ticket.toKey(), 0, f.now));
			f.tick();
			assertThat(f.cancels).isEqualTo(2 * jobs);
			f.starts.forEach((start) -> f.endTasks(start, Outcome.NOT_RUN));
			assertThat(f.answers).hasSize(2 * jobs);
			assertThat(f.answer(jobs)).isEqualTo("not-run CANCELLED");
		});
		cases.put("a query returns the state of a job", (f) -> {
			SubmissionEffect.StartTasks start = f.startJob(f.job(false, 1));
			f.system.query(2, SubmissionFixture.CALLER, SubmissionKey.of("other"), 0, f.now);
			assertThat(f.answer(2)).isEqualTo("unknown UNKNOWN_SUBMISSION");
			f.system.query(3, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now);
			f.tick();
			assertThat(f.answers.get(3L).isAccepted()).isTrue();
			f.completeTasks(start);
			f.system.query(4, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now);
			assertThat(f.answer(4)).isEqualTo("complete");
		});
	}

}
