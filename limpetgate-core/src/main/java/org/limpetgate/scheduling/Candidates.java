package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The usable workers of one service and label, with their factors for tasks whose data is
 * on one rack, and the searches of a placement pass that found no worker among them.
 * Lives as long as the pass. Not thread-safe.
 */
final class Candidates {

	/**
	 * The number of failed searches that are kept per kind of task. Tasks that none of
	 * them covers are searched for again.
	 */
	private static final int MAX_FAILED_SEARCHES = 16;

	private final List<CapacityGroup> groups = new ArrayList<>();

	/** The failed searches by kind of task. */
	private final Map<Integer, List<FailedSearch>> failedSearches = new LinkedHashMap<>();

	private final ToDoubleFunction<WorkerEntity> factor;

	/** The most free processor time of a worker, valid once all groups are prepared. */
	private int maxFreeCpuMillis;

	private boolean allPrepared;

	Candidates(Collection<WorkerEntity> workers, String service, String label, int minCpuMillis,
			ToDoubleFunction<WorkerEntity> factor) {
		this.factor = factor;
		int place = 0;
		for (WorkerEntity worker : workers) {
			WorkerInfo info = worker.info;
			if (info.service().equals(service) && worker.isUsable()
					&& (label.isEmpty() || info.labels().contains(label))) {
				group(info.capacity(), workers.size(), minCpuMillis).add(worker, place);
			}
			place++;
		}
	}

	// Fleets have few kinds of workers, so that a search of the groups is short.
	private CapacityGroup group(Capacity capacity, int maxSize, int minCpuMillis) {
		for (CapacityGroup group : this.groups) {
			if (group.capacity().equals(capacity)) {
				return group;
			}
		}
		CapacityGroup group = new CapacityGroup(capacity, maxSize, minCpuMillis);
		this.groups.add(group);
		return group;
	}

	List<CapacityGroup> groups() {
		return this.groups;
	}

	// Computes the factors of the workers that can run a task of this demand.
	void prepare(Capacity demand) {
		if (this.allPrepared) {
			return;
		}
		this.allPrepared = true;
		for (CapacityGroup group : this.groups) {
			if (demand.fits(group.capacity())) {
				group.prepare(this.factor);
			}
			this.allPrepared &= group.isPrepared();
		}
		if (this.allPrepared) {
			updateMaxFree();
		}
	}

	private void updateMaxFree() {
		this.maxFreeCpuMillis = Integer.MIN_VALUE;
		for (CapacityGroup group : this.groups) {
			this.maxFreeCpuMillis = Math.max(this.maxFreeCpuMillis, group.maxFreeCpuMillis());
		}
	}

	// Tests whether no worker has this much free processor time, and the factors of all
	// workers are known.
	boolean hasNoRoom(int cpuMillis) {
		return this.allPrepared && cpuMillis > this.maxFreeCpuMillis;
	}

	void workerChanged(WorkerEntity worker) {
		for (CapacityGroup group : this.groups) {
			group.workerChanged(worker);
		}
		if (this.allPrepared) {
			updateMaxFree();
		}
	}

	// Tests whether less than a share of the capacity of the workers that can run a task
	// of this demand is free.
	boolean isFreeBelow(double share, Capacity demand) {
		long free = 0;
		long total = 0;
		for (CapacityGroup group : this.groups) {
			if (demand.fits(group.capacity())) {
				free += group.totalFreeCpuMillis();
				total += group.totalCpuMillis();
			}
		}
		return free < share * total;
	}

	// Returns the lowest factor of the workers with enough free processor time; those
	// may lack other resources.
	double lowestFactorWithRoom(Capacity demand) {
		double lowest = Double.MAX_VALUE;
		for (CapacityGroup group : this.groups) {
			if (demand.fits(group.capacity())) {
				lowest = Math.min(lowest, group.lowestFactor(group.countWithRoom(demand.cpuMillis())));
			}
		}
		return lowest;
	}

	// Records that a search found no worker, or only late ones.
	void addFailedSearch(int kind, FailedSearch search) {
		List<FailedSearch> searches = this.failedSearches.computeIfAbsent(kind, (key) -> new ArrayList<>());
		searches.removeIf(search::covers);
		if (searches.size() < MAX_FAILED_SEARCHES) {
			searches.add(search);
		}
	}

	// Returns the lowest factor of the workers that any search for the task would find,
	// as far as the failed searches tell; infinite if there is none.
	double lowestFactorBySearches(int kind, Capacity demand, long leaseLimitNanos) {
		List<FailedSearch> searches = this.failedSearches.get(kind);
		double lowest = 0;
		if (searches != null) {
			for (FailedSearch search : searches) {
				if (search.demand.fits(demand) && leaseLimitNanos <= search.leaseLimitNanos) {
					lowest = Math.max(lowest, search.lowestFactor);
				}
			}
		}
		return lowest;
	}

	/**
	 * A search that found no worker for its task in time. A task of the same kind that
	 * demands as much or more, with the same or an earlier limit of its lease, finds no
	 * other workers in the same pass, since these only fill up.
	 *
	 * @param demand the demand of the task
	 * @param leaseLimitNanos until when the leases of its job may last
	 * @param lowestFactor the lowest factor of the workers that had room for it, infinite
	 * if there was none
	 */
	record FailedSearch(Capacity demand, long leaseLimitNanos, double lowestFactor) {

		private boolean covers(FailedSearch other) {
			return this.demand.fits(other.demand) && other.leaseLimitNanos <= this.leaseLimitNanos
					&& other.lowestFactor <= this.lowestFactor;
		}

	}

}
