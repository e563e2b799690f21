package org.limpetgate.fleet;

import java.util.concurrent.CompletableFuture;

import org.limpetgate.scheduling.PollFailure;
import org.limpetgate.scheduling.SchedulingEffect;
import org.limpetgate.scheduling.StartAnswer;
import org.limpetgate.scheduling.WorkerReport;

/**
 * Sends orders to workers. Futures complete on the thread of the event loop and never
 * fail; a failure is part of the answer.
 */
public interface WorkerOrders {

	/**
	 * Orders a worker to start a run.
	 * @param order the order, not null
	 * @return the answer, not null
	 */
	CompletableFuture<StartAnswer> start(SchedulingEffect.StartRun order);

	/**
	 * Orders a worker to stop a run.
	 * @param order the order, not null
	 * @return whether the worker confirmed it, not null
	 */
	CompletableFuture<Boolean> stop(SchedulingEffect.StopRun order);

	/**
	 * Polls a worker for a report.
	 * @param order the request, not null
	 * @return the report or the failure, not null
	 */
	CompletableFuture<PollAnswer> poll(SchedulingEffect.PollWorker order);

	/**
	 * The result of a poll: either a report or a failure.
	 *
	 * @param report the report, null if there is none
	 * @param failure the failure, null if there is a report
	 */
	record PollAnswer(WorkerReport report, PollFailure failure) {

	}

}
