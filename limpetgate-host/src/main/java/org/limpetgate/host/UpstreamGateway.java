package org.limpetgate.host;

import java.util.concurrent.CompletableFuture;

import org.limpetgate.AttemptId;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;

/**
 * Starts attempts at upstreams of one kind.
 * <p>
 * Implementations are thread-safe.
 */
public interface UpstreamGateway {

	/**
	 * Starts an attempt.
	 * @param upstream the upstream, not null
	 * @param request what to run, not null
	 * @return the running attempt, not null
	 */
	Exchange start(Upstream upstream, AttemptRequest request);

	/**
	 * What an attempt runs, and its time limit.
	 *
	 * @param attempt the attempt
	 * @param task the task
	 * @param call the request
	 * @param timeoutNanos the time allowed, in nanoseconds
	 */
	record AttemptRequest(AttemptId attempt, TaskRequest task, HttpCall call, long timeoutNanos) {
	}

	/**
	 * A running attempt.
	 */
	interface Exchange {

		/**
		 * Returns the future of the answer. A failure is a
		 * {@link org.limpetgate.DispatchException} with the outcome.
		 * @return the future of the answer, not null
		 */
		CompletableFuture<HttpReply> answer();

		/**
		 * Tests whether the upstream announced that it is leaving, in an answer or a
		 * refusal.
		 * @return true if it did; valid once the answer has completed
		 */
		boolean isUpstreamLeaving();

		/**
		 * Cancels the attempt; its answer then fails.
		 */
		void cancel();

	}

}
