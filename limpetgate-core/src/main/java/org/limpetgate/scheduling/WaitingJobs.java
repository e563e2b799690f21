package org.limpetgate.scheduling;

import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The jobs with tasks that wait for a worker, in the order in which they were added.
 * <p>
 * Keeps the result of the last sort, since sorting a list that is nearly in order takes
 * time in proportion to its length. Invariant: every job of the set is in the sorted
 * list, which may also have jobs that have left the set since the last sort. Not
 * thread-safe.
 */
final class WaitingJobs extends AbstractSet<JobEntity> {

	private final Set<JobEntity> jobs = new LinkedHashSet<>();

	private final List<JobEntity> sorted = new ArrayList<>();

	@Override
	public boolean add(JobEntity job) {
		boolean added = this.jobs.add(job);
		if (added) {
			job.waiting = true;
			list(job);
		}
		return added;
	}

	private void list(JobEntity job) {
		if (!job.listedForSort) {
			job.listedForSort = true;
			this.sorted.add(job);
		}
	}

	@Override
	public boolean remove(Object object) {
		boolean removed = this.jobs.remove(object);
		if (removed) {
			((JobEntity) object).waiting = false;
		}
		return removed;
	}

	@Override
	public void clear() {
		this.jobs.forEach((job) -> job.waiting = false);
		this.jobs.clear();
	}

	@Override
	public boolean contains(Object object) {
		return this.jobs.contains(object);
	}

	// Sorts the jobs. The list is valid until the next sort; jobs may be removed from the
	// set in the meantime.
	List<JobEntity> sort(QueueOrder order, long nowNanos) {
		this.sorted.removeIf(WaitingJobs::hasLeft);
		order.sort(this.sorted, nowNanos);
		return this.sorted;
	}

	private static boolean hasLeft(JobEntity job) {
		job.listedForSort = job.waiting;
		return !job.waiting;
	}

	// Sorts the jobs together with one that is not in the set.
	List<JobEntity> sortWith(JobEntity job, QueueOrder order, long nowNanos) {
		this.sorted.removeIf(WaitingJobs::hasLeft);
		list(job);
		order.sort(this.sorted, nowNanos);
		return this.sorted;
	}

	@Override
	public Iterator<JobEntity> iterator() {
		return this.jobs.iterator();
	}

	@Override
	public int size() {
		return this.jobs.size();
	}

}
