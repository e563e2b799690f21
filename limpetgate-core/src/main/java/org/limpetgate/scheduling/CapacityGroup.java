package org.limpetgate.scheduling;

import java.util.Arrays;
import java.util.function.ToDoubleFunction;

/**
 * The usable workers of equal capacity that may run the tasks of one kind, ordered by
 * their free processor time. Lives as long as a placement pass. Not thread-safe.
 */
final class CapacityGroup {

	/** The free processor time of a worker that takes no further run in this pass. */
	private static final int CLOSED = -1;

	private final Capacity capacity;

	private final WorkerEntity[] workers;

	/** The position of each worker among all workers of the pass, for equal costs. */
	private final int[] places;

	private final int minCpuMillis;

	private int size;

	/** The free processor time of each worker, in thousandths of a core. */
	private final int[] freeCpuMillis;

	private long totalFreeCpuMillis;

	/** The factor on the duration of each worker, null before it is needed. */
	private double[] factors;

	private double minFactor = Double.MAX_VALUE;

	/** The lowest factor of the other workers than the one with the lowest. */
	private double secondFactor = Double.MAX_VALUE;

	private int fastest = -1;

	/** Workers with at least the minimum free, most free first. */
	private int[] byFree;

	/** The lowest factor of the workers up to each place in {@link #byFree}. */
	private double[] lowestFactors;

	/** The number of workers in {@link #byFree}. */
	private int listed;

	CapacityGroup(Capacity capacity, int maxSize, int minCpuMillis) {
		this.capacity = capacity;
		this.workers = new WorkerEntity[maxSize];
		this.places = new int[maxSize];
		this.minCpuMillis = Math.max(0, minCpuMillis);
		this.freeCpuMillis = new int[maxSize];
	}

	// Adds a worker, before any factor is needed.
	void add(WorkerEntity worker, int place) {
		this.workers[this.size] = worker;
		this.places[this.size] = place;
		this.freeCpuMillis[this.size] = worker.freeCapacity().cpuMillis();
		this.totalFreeCpuMillis += this.freeCpuMillis[this.size];
		this.size++;
	}

	private int indexOf(WorkerEntity worker) {
		for (int index = 0; index < this.size; index++) {
			if (this.workers[index] == worker) {
				return index;
			}
		}
		return -1;
	}

	Capacity capacity() {
		return this.capacity;
	}

	long totalCpuMillis() {
		return (long) this.capacity.cpuMillis() * this.size;
	}

	long totalFreeCpuMillis() {
		return this.totalFreeCpuMillis;
	}

	boolean isPrepared() {
		return this.factors != null;
	}

	// Computes the factors, which the model refreshes only for workers that some task
	// needs.
	void prepare(ToDoubleFunction<WorkerEntity> factor) {
		if (isPrepared()) {
			return;
		}
		this.factors = new double[this.size];
		long[] keys = new long[this.size];
		for (int index = 0; index < this.size; index++) {
			WorkerEntity worker = this.workers[index];
			double value = factor.applyAsDouble(worker);
			this.factors[index] = value;
			if (value < this.minFactor) {
				this.secondFactor = this.minFactor;
				this.minFactor = value;
				this.fastest = index;
			}
			else {
				this.secondFactor = Math.min(this.secondFactor, value);
			}
			int free = isClosed(worker) ? CLOSED : this.freeCpuMillis[index];
			if (free >= this.minCpuMillis) {
				keys[this.listed++] = ((long) (Integer.MAX_VALUE - free) << Integer.SIZE) | index;
			}
		}
		Arrays.sort(keys, 0, this.listed);
		this.byFree = new int[this.size];
		this.lowestFactors = new double[this.size];
		for (int place = 0; place < this.listed; place++) {
			this.byFree[place] = (int) keys[place];
		}
		updateLowestFactors(0);
	}

	private void updateLowestFactors(int from) {
		double lowest = (from > 0) ? this.lowestFactors[from - 1] : Double.MAX_VALUE;
		for (int place = from; place < this.listed; place++) {
			lowest = Math.min(lowest, this.factors[this.byFree[place]]);
			this.lowestFactors[place] = lowest;
		}
	}

	// An isolated worker takes no run beside the present one.
	private static boolean isClosed(WorkerEntity worker) {
		return worker.reserved || (worker.isolated && !worker.runs.isEmpty());
	}

	// Updates a worker whose runs or reservation have changed.
	void workerChanged(WorkerEntity worker) {
		int index = indexOf(worker);
		if (index < 0) {
			return;
		}
		int free = worker.freeCapacity().cpuMillis();
		this.totalFreeCpuMillis += free - this.freeCpuMillis[index];
		this.freeCpuMillis[index] = free;
		if (isPrepared()) {
			int removedAt = remove(index);
			int insertedAt = insert(index, isClosed(worker) ? CLOSED : free);
			updateLowestFactors(Math.min(removedAt, insertedAt));
		}
	}

	private int remove(int index) {
		for (int place = 0; place < this.listed; place++) {
			if (this.byFree[place] == index) {
				this.listed--;
				System.arraycopy(this.byFree, place + 1, this.byFree, place, this.listed - place);
				return place;
			}
		}
		return this.listed;
	}

	private int insert(int index, int free) {
		if (free < this.minCpuMillis) {
			return this.listed;
		}
		int place = countWithRoom(free);
		System.arraycopy(this.byFree, place, this.byFree, place + 1, this.listed - place);
		this.byFree[place] = index;
		this.listed++;
		return place;
	}

	// Returns the number of workers with at least this much free processor time, which
	// are the first in the order.
	int countWithRoom(int cpuMillis) {
		int low = 0;
		int high = this.listed;
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (this.freeCpuMillis[this.byFree[middle]] >= cpuMillis) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

	// Returns the most free processor time of a worker.
	int maxFreeCpuMillis() {
		return (this.listed > 0) ? this.freeCpuMillis[this.byFree[0]] : CLOSED;
	}

	// Returns the lowest factor of the first workers in the order.
	double lowestFactor(int count) {
		return (count > 0) ? this.lowestFactors[count - 1] : Double.MAX_VALUE;
	}

	// Returns the lowest factor of the workers other than one, which may be null.
	double minFactorWithout(WorkerEntity worker) {
		boolean fastestLeft = worker == null || this.fastest < 0 || this.workers[this.fastest] != worker;
		return fastestLeft ? this.minFactor : this.secondFactor;
	}

	// Returns a worker by its place in the order, most free first.
	WorkerEntity worker(int place) {
		return this.workers[this.byFree[place]];
	}

	double factor(int place) {
		return this.factors[this.byFree[place]];
	}

	// Returns the place of a worker among all workers of the pass.
	int passPlace(int place) {
		return this.places[this.byFree[place]];
	}

	// Returns the factor of a worker, or an infinite one if it is not in the group.
	double factorOf(WorkerEntity worker) {
		int index = indexOf(worker);
		return (index >= 0) ? this.factors[index] : Double.POSITIVE_INFINITY;
	}

}
