package org.limpetgate.standin;

import java.util.List;

/**
 * The response to {@code GET /starts}.
 *
 * @param total the number of starts
 * @param untracked the number of starts whose id was missing or not tracked
 * @param startedTwice the ids that were started more than once
 */
record StartCounts(long total, long untracked, List<String> startedTwice) {

	static StartCounts of(StartCounter counter) {
		return new StartCounts(counter.total(), counter.untracked(), counter.startedTwice());
	}

}
