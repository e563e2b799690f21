package org.limpetgate.bench.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.sun.management.OperatingSystemMXBean;

/**
 * Measures memory and processor time.
 * <p>
 * Time is the processor time of the process, which includes garbage collection and
 * excludes the time spent waiting on a busy machine.
 */
final class Meter {

	private static final OperatingSystemMXBean SYSTEM = (OperatingSystemMXBean) ManagementFactory
		.getOperatingSystemMXBean();

	/**
	 * The state whose size is measured. With a local variable instead, one of several
	 * runs measured 0 bytes at seven data points, for an unknown reason.
	 */
	private static volatile Object retained;

	private static final int MEASURED_ROUNDS = 5;

	/**
	 * The platform reports processor time in steps of 10 ms, which limits the error to
	 * 7%.
	 */
	private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

	private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final int COLLECTIONS = 2;

	private Meter() {
	}

	/**
	 * Returns the processor time of an operation: the median of several rounds after a
	 * warm-up.
	 * @param operation the operation, which must be repeatable, not null
	 * @return nanoseconds per operation
	 */
	static double nanos(Runnable operation) {
		long calls = 0;
		long start = SYSTEM.getProcessCpuTime();
		while (SYSTEM.getProcessCpuTime() - start < WARM_UP_NANOS) {
			operation.run();
			calls++;
		}
		long perRound = Math.max(1, calls * ROUND_NANOS / WARM_UP_NANOS);
		double[] rounds = new double[MEASURED_ROUNDS];
		for (int round = 0; round < MEASURED_ROUNDS; round++) {
			rounds[round] = round(operation, perRound);
		}
		Arrays.sort(rounds);
		return rounds[MEASURED_ROUNDS / 2];
	}

	private static double round(Runnable operation, long calls) {
		long totalCalls = 0;
		long start = SYSTEM.getProcessCpuTime();
		long elapsed = 0;
		while (elapsed < ROUND_NANOS) {
			for (long i = 0; i < calls; i++) {
				operation.run();
			}
			totalCalls += calls;
			elapsed = SYSTEM.getProcessCpuTime() - start;
		}
		return (double) elapsed / totalCalls;
	}

	/**
	 * Returns the retained heap size of an object graph: the heap used while it is
	 * reachable minus the heap used after it is released, each after garbage collection.
	 * A reading before its creation would not be comparable, because libraries allocate
	 * and retain buffers at their first use.
	 * @param state creates the object graph; objects that it shares with others are not
	 * counted, not null
	 * @return the size in bytes
	 */
	static double heapBytes(Supplier<?> state) {
		// The first reading also lets garbage of earlier measurements be collected.
		retainedBytes(state);
		return retainedBytes(state);
	}

	private static double retainedBytes(Supplier<?> state) {
		retained = state.get();
		long used = usedBytes();
		retained = null;
		return used - usedBytes();
	}

	private static long usedBytes() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
