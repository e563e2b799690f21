package org.limpetgate.submission;

/**
 * The size of the state of a {@link SubmissionSystem}, for metrics.
 *
 * @param claims the number of claims in memory
 * @param jobs the number of jobs in memory, including ended ones
 * @param runningJobs the number of jobs whose tasks have been passed to the dispatcher
 * @param resultBytes the bytes of retained results
 * @param openBytes the bytes of open requests and running jobs
 * @param forwardedRequests the number of requests that were forwarded to peers and are
 * waiting for a reply
 * @param openRequests the number of requests without a reply so far
 * @param brokenInvariants the number of violated invariants since the process started;
 * any value above 0 is a bug
 * @param droppedEvents the number of late or duplicate reports since the process started
 * @param uncollectedJobs the number of jobs whose caller did not wait and whose outcome
 * has not been sent to any caller yet, except those whose result has been evicted
 */
public record SubmissionCounts(int claims, int jobs, int runningJobs, long resultBytes, long openBytes,
		int forwardedRequests, int openRequests, long brokenInvariants, long droppedEvents, int uncollectedJobs) {
}
