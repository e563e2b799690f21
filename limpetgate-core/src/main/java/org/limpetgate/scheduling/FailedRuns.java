package org.limpetgate.scheduling;

import java.util.Set;
import java.util.TreeSet;

/**
 * The failed runs of a task that were counted.
 * <p>
 * A worker lists an end again until it is acknowledged, also to the next scheduler, so
 * that each failure is counted by its attempt. Records of earlier versions have the
 * number only. Immutable and thread-safe.
 *
 * @param count the number of failed runs, at least that of the attempts
 * @param attempts the attempts of these runs as far as they are known, not null
 */
public record FailedRuns(int count, Set<Integer> attempts) {

	/** No failed runs. */
	public static final FailedRuns NONE = new FailedRuns(0, Set.of());

	public FailedRuns {
		attempts = Set.copyOf(attempts);
	}

	/**
	 * Returns a copy with one more failed run.
	 * @param attempt its attempt, at least 1
	 * @return the copy, not null; this object if the attempt was counted before
	 */
	public FailedRuns plus(int attempt) {
		if (includes(attempt)) {
			return this;
		}
		Set<Integer> changed = new TreeSet<>(this.attempts);
		changed.add(attempt);
		return new FailedRuns(this.count + 1, changed);
	}

	/**
	 * Tests whether the failure of an attempt was counted.
	 * @param attempt the attempt
	 * @return true if it was
	 */
	public boolean includes(int attempt) {
		return this.attempts.contains(attempt);
	}

	/**
	 * Tests whether no run has failed.
	 * @return true if none has
	 */
	public boolean isEmpty() {
		return this.count == 0;
	}

	/**
	 * Returns the highest attempt that was counted.
	 * @return the attempt, 0 if none is known
	 */
	public int highestAttempt() {
		return this.attempts.stream().mapToInt(Integer::intValue).max().orElse(0);
	}

}
