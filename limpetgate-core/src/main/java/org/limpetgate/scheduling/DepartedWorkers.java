package org.limpetgate.scheduling;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.UpstreamId;

/**
 * The workers that left the list of workers some time ago, each as it was known last. Not
 * thread-safe.
 */
final class DepartedWorkers {

	/** In the order in which they were added. */
	private final Map<UpstreamId, Departure> departures = new LinkedHashMap<>();

	void add(WorkerInfo worker, long unlistedNanos) {
		this.departures.put(worker.id(), new Departure(worker, unlistedNanos));
	}

	// Forgets those that left the list before a time.
	void removeBefore(long nanos) {
		Iterator<Departure> iterator = this.departures.values().iterator();
		while (iterator.hasNext()) {
			if (iterator.next().unlistedNanos() < nanos) {
				iterator.remove();
			}
		}
	}

	// Removes and returns all.
	List<WorkerInfo> removeAll() {
		List<WorkerInfo> workers = this.departures.values().stream().map(Departure::worker).toList();
		this.departures.clear();
		return workers;
	}

	/**
	 * A worker that left the list.
	 *
	 * @param worker the worker
	 * @param unlistedNanos when it left, nanoseconds since the Unix epoch
	 */
	private record Departure(WorkerInfo worker, long unlistedNanos) {

	}

}
