package org.limpetgate.host;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.TaskId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.RequestHead;
import org.limpetgate.config.Route;
import org.limpetgate.dispatch.Admission;
import org.limpetgate.dispatch.DispatchEffect;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;
import org.limpetgate.submission.JobFeasibility;
import org.limpetgate.submission.Submission;
import org.limpetgate.submission.SubmissionSystem;
import org.limpetgate.submission.SubmittedTask;
import org.limpetgate.submission.TaskResult;

/**
 * Runs the tasks of jobs and determines which jobs can never run.
 * <p>
 * Not thread-safe: confined to the control thread.
 */
public final class JobTasks implements JobFeasibility {

	private final TaskService tasks;

	private final Supplier<Configuration> configuration;

	private final Map<JobTask, TaskId> running = new HashMap<>();

	/**
	 * Creates an instance without running tasks.
	 * @param tasks runs the tasks, not null
	 * @param configuration returns the tables in force, not null
	 */
	public JobTasks(TaskService tasks, Supplier<Configuration> configuration) {
		this.tasks = tasks;
		this.configuration = configuration;
	}

	/**
	 * Offers all tasks of a job. The outcome of each task, including a refused one, is
	 * reported to the system.
	 * @param jobRunNumber the number of the job run
	 * @param submission the tasks, not null
	 * @param system receives the outcomes, not null
	 * @param nowNanos the current time
	 */
	public void start(long jobRunNumber, Submission submission, SubmissionSystem system, long nowNanos) {
		Configuration tables = this.configuration.get();
		for (int index = 0; index < submission.tasks().size(); index++) {
			startTask(new JobTask(jobRunNumber, index), submission, tables, system, nowNanos);
		}
	}

	private void startTask(JobTask jobTask, Submission submission, Configuration tables, SubmissionSystem system,
			long nowNanos) {
		SubmittedTask task = submission.tasks().get(jobTask.index());
		Optional<Route> route = tables.match(head(submission, task));
		if (route.isEmpty()) {
			system.taskEnded(jobTask.jobRunNumber(), jobTask.index(), notRun(ErrorKind.NO_ROUTE, noRoute(task), 0),
					nowNanos);
			return;
		}
		long routeDeadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(route.get().deadlineMillis());
		TaskRequest request = new TaskRequest(this.tasks.nextTaskId(), submission.caller(), route.get().name(),
				pool(task, route.get()), task.idempotent(), task.resources(), task.body().length,
				Math.min(routeDeadlineNanos, submission.expiryNanos()), jobTask.jobRunNumber());
		HttpCall call = new HttpCall(task.method(), task.path(), task.headers(), task.body());
		Admission admission = this.tasks.offer(request, call, (ended, reply, endNanos) -> {
			this.running.remove(jobTask);
			system.taskEnded(jobTask.jobRunNumber(), jobTask.index(), result(ended, reply), endNanos);
		}, nowNanos);
		if (admission.isAccepted()) {
			this.running.put(jobTask, request.id());
		}
		else {
			system.taskEnded(jobTask.jobRunNumber(), jobTask.index(),
					notRun(admission.error(), admission.detail(), admission.retryAfterNanos()), nowNanos);
		}
	}

	private static PoolName pool(SubmittedTask task, Route route) {
		return (task.pool() != null) ? task.pool() : route.pool();
	}

	private static RequestHead head(Submission submission, SubmittedTask task) {
		int query = task.path().indexOf('?');
		String path = (query < 0) ? task.path() : task.path().substring(0, query);
		return new RequestHead(submission.caller().value(), task.method(), task.headers().getOrDefault("host", ""),
				path, task.headers());
	}

	private static TaskResult notRun(ErrorKind error, String detail, long retryAfterNanos) {
		return TaskResult.incomplete(Outcome.NOT_RUN, error, detail, retryAfterNanos);
	}

	private static TaskResult result(DispatchEffect.TaskEnded ended, HttpReply reply) {
		if (ended.outcome() == Outcome.COMPLETE) {
			return TaskResult.complete(reply.status(), reply.body());
		}
		return new TaskResult(ended.outcome(), (reply != null) ? reply.status() : 0,
				(reply != null) ? reply.body() : new byte[0], ended.error(), ended.detail(), ended.retryAfterNanos());
	}

	/**
	 * Cancels a task of a job. Its outcome is still reported.
	 * @param jobRunNumber the number of the job run
	 * @param index the position of the task
	 * @param nowNanos the current time
	 */
	public void cancel(long jobRunNumber, int index, long nowNanos) {
		TaskId task = this.running.get(new JobTask(jobRunNumber, index));
		if (task != null) {
			this.tasks.cancel(task, nowNanos);
		}
	}

	@Override
	public DispatchException infeasibilityReason(Submission submission) {
		Configuration tables = this.configuration.get();
		for (SubmittedTask task : submission.tasks()) {
			DispatchException reason = infeasibilityReason(task, submission, tables);
			if (reason != null) {
				return reason;
			}
		}
		return null;
	}

	private static DispatchException infeasibilityReason(SubmittedTask task, Submission submission,
			Configuration tables) {
		Optional<Route> route = tables.match(head(submission, task));
		if (route.isEmpty()) {
			return DispatchException.of(ErrorKind.NO_ROUTE, Outcome.NOT_RUN, noRoute(task));
		}
		Optional<Pool> pool = tables.pool(pool(task, route.get()));
		if (pool.isEmpty()) {
			return DispatchException.of(ErrorKind.IMPOSSIBLE, Outcome.NOT_RUN,
					"task '" + task.id() + "' names pool '" + task.pool() + "', which does not exist");
		}
		boolean fits = pool.get().kind() == PoolKind.RUNNERS || pool.get()
			.upstreams()
			.stream()
			.anyMatch((upstream) -> task.resources().isWithin(upstream.resources()));
		return fits ? null : DispatchException.of(ErrorKind.IMPOSSIBLE, Outcome.NOT_RUN, "task '" + task.id()
				+ "' needs more resources than any worker of pool '" + pool.get().name() + "' has");
	}

	private static String noRoute(SubmittedTask task) {
		return "no route matches task '" + task.id() + "' with " + task.method() + " " + task.path();
	}

	private record JobTask(long jobRunNumber, int index) {
	}

}
