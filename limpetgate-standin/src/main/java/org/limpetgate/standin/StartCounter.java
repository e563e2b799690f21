package org.limpetgate.standin;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the starts of each request id, over all stand-ins that share the counter, so
 * that tests can detect double starts.
 * <p>
 * Thread-safe. It remembers a bounded number of ids; starts of further ids are only
 * summed up.
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
	 * Returns how often an id was started.
	 * @param id the id, not null
	 * @return the number, 0 if never
	 */
	public int starts(String id) {
		return this.starts.getOrDefault(id, 0);
	}

	/**
	 * Returns the number of all starts.
	 * @return the number
	 */
	public long total() {
		return this.total.sum();
	}

	/**
	 * Returns the number of starts without an id or beyond the bound of remembered ids,
	 * for which a double start would go unnoticed.
	 * @return the number
	 */
	public long untracked() {
		return this.untracked.sum();
	}

	/**
	 * Returns the ids that were started more than once.
	 * @return the ids in order, not null
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
