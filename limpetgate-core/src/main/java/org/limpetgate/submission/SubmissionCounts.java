package org.limpetgate.submission;

/**
 * The size of the state of a {@link SubmissionSystem}, for metrics.
 *
 * @param claims claims in memory
 * @param jobs jobs remembered, ended ones included
 * @param runningJobs jobs with tasks handed over
 * @param resultBytes bytes of kept results
 * @param openBytes bytes of open requests and running jobs
 * @param relays requests passed on to peers and not answered
 * @param openRequests requests not answered
 * @param brokenInvariants broken invariants since the start of the process; above 0 is a
 * fault of the program
 * @param droppedEvents late or crossed reports since the start of the process
 * @param uncollectedJobs jobs accepted without waiting whose end no caller has been told;
 * a result that is no longer kept does not count
 */
public record SubmissionCounts(int claims, int jobs, int runningJobs, long resultBytes, long openBytes, int relays,
		int openRequests, long brokenInvariants, long droppedEvents, int uncollectedJobs) {
}
