package org.limpetgate.submission;

import org.limpetgate.DispatchException;

/**
 * Checks whether a job can ever run with the current tables.
 */
@FunctionalInterface
public interface JobFeasibility {

	/**
	 * Checks a job before it is claimed, and again before a held job is started.
	 * @param submission the job, not null
	 * @return the reason why it can never run, such as
	 * {@link org.limpetgate.ErrorKind#IMPOSSIBLE} or
	 * {@link org.limpetgate.ErrorKind#NO_ROUTE}, or null if it can
	 */
	DispatchException infeasibilityReason(Submission submission);

}
