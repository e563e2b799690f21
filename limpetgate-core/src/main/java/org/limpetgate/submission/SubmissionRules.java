package org.limpetgate.submission;

import org.limpetgate.Outcome;

/**
 * The rules on which "at most one start" rests.
 * <p>
 * Separate from {@link SubmissionSystem} so that the randomised test can break each of
 * them and show that the break is found. Nothing else overrides them.
 */
class SubmissionRules {

	// Whether a job starts only after its claim was read back as the first one.
	boolean needsReadBack() {
		return true;
	}

	// Whether a task with this outcome proves that it can be started later.
	boolean isProvedNotRun(Outcome outcome) {
		return outcome == Outcome.NOT_RUN;
	}

	// How far back the records read must reach before this host claims.
	long historyNanos(SubmissionSettings settings) {
		return settings.horizonNanos() + settings.skewNanos();
	}

}
