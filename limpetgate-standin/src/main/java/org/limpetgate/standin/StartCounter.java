package org.limpetgate.standin;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts starts by request id over all stand-ins that share the counter, so that tests
 * can detect duplicate starts.
 * <p>
 * Thread-safe. The number of tracked ids is bounded; starts of further ids count only
 * towards the totals.
 */
public final class StartCounter {

	private static final int MAX_IDS = 1_000_000;

	private final ConcurrentHashMap<String, Integer> starts = new ConcurrentHashMap<>();

	private final LongAdder total = new LongAdder();

	private final LongAdder untracked = new LongAdder();

	void recordStart(String id) {
		this.total.increment();
		if (id.isEmpty() || (this.starts.size() >= MAX_IDS && !this.starts.containsKey(id))) {
			this.untracked.increment();
			return;
		}
		this.starts.merge(id, 1, Integer::sum);
	}

	/**
	 * Returns the number of starts of an id.
	 * @param id the id, not null
	 * @return the number, 0 if never
	 */
	public int starts(String id) {
		return this.starts.getOrDefault(id, 0);
	}

	/**
	 * Returns the total number of starts.
	 * @return the number
	 */
	public long total() {
		return this.total.sum();
	}

	/**
	 * Returns the number of starts without an id or beyond the bound on tracked ids.
	 * Duplicate starts among them are not detected.
	 * @return the number
	 */
	public long untracked() {
		return this.untracked.sum();
	}

	/**
	 * Returns the ids that were started more than once.
	 * @return the ids in ascending order, not null
	 */
	public List<String> startedTwice() {
		return this.starts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 1)
			.map((entry) -> entry.getKey())
			.sorted()
			.toList();
	}

}
