package org.limpetgate.bench.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.sun.management.OperatingSystemMXBean;

/**
 * Measures memory and processor time.
 * <p>
 * Time is the processor time of the whole process, so that garbage collection counts and
 * waiting for a busy machine does not.
 */
final class Meter {

	private static final OperatingSystemMXBean SYSTEM = (OperatingSystemMXBean) ManagementFactory
		.getOperatingSystemMXBean();

	/**
	 * The state that is weighed. With a local variable, one run of several read 0 bytes
	 * at seven points; the cause is not known.
	 */
	private static volatile Object retained;

	private static final int MEASURED_ROUNDS = 5;

	/** The platform counts processor time in steps of 10 ms: an error of 7% at most. */
	private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

	private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final int COLLECTIONS = 2;

	private Meter() {
	}

	/**
	 * Returns the processor time of an operation: the median of several rounds after a
	 * warm-up.
	 * @param operation the operation, which can be repeated, not null
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
		long done = 0;
		long start = SYSTEM.getProcessCpuTime();
		long elapsed = 0;
		while (elapsed < ROUND_NANOS) {
			for (long i = 0; i < calls; i++) {
				operation.run();
			}
			done += calls;
			elapsed = SYSTEM.getProcessCpuTime() - start;
		}
		return (double) elapsed / done;
	}

	/**
	 * Returns the heap that a state holds after garbage collection: what is used while it
	 * is held less what is used once it is released. Libraries keep buffers from the
	 * first use on, so that a reading before the state was made is of no use.
	 * @param state makes the state; what it shares with others does not count, not null
	 * @return bytes
	 */
	static double heapBytes(Supplier<?> state) {
		// The first reading also frees what earlier measurements left to be cleared.
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
