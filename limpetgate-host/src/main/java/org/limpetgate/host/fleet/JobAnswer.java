package org.limpetgate.host.fleet;

import org.limpetgate.scheduling.JobOutcome;

/**
 * The final answer to a job.
 * <p>
 * Immutable and thread-safe.
 *
 * @param outcome how the job ended; never {@link JobOutcome#MOVED}
 * @param reason the reason as human-readable text, empty for a completed job
 * @param retryAfterNanos the delay after which the caller may retry, in nanoseconds, or 0
 * if none is given
 */
public record JobAnswer(JobOutcome outcome, String reason, long retryAfterNanos) {

}
