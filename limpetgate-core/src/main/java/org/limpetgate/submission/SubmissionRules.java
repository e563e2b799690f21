package org.limpetgate.submission;

import org.limpetgate.Outcome;

/**
 * The rules that ensure at most one start of each task.
 * <p>
 * Separate from {@link SubmissionSystem} so that the randomised test can break each rule
 * and verify that the violation is detected. Nothing else overrides them.
 */
class SubmissionRules {

	// Tests whether a job may start only after its claim was read back and is the first
	// one of its key.
	boolean needsReadBack() {
		return true;
	}

	// Tests whether this outcome proves that the task did not run, so that it can be
	// started later.
	boolean isProvenNotRun(Outcome outcome) {
		return outcome == Outcome.NOT_RUN;
	}

	// Returns how far back the records of the claims stream that were read must reach
	// before this host may claim a key.
	long historyNanos(SubmissionSettings settings) {
		return settings.claimRetentionNanos() + settings.skewNanos();
	}

}
