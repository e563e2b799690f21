package org.limpetgate.scheduling;

/**
 * An amount of processor time, memory and accelerators, in integers so that sums are
 * exact.
 * <p>
 * Immutable and thread-safe.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb memory in megabytes
 * @param accelerators number of accelerators
 */
public record Capacity(int cpuMillis, int memoryMb, int accelerators) {

	/** No capacity. */
	public static final Capacity NONE = new Capacity(0, 0, 0);

	/**
	 * Returns the sum.
	 * @param other the amount to add, not null
	 * @return the sum, not null
	 */
	public Capacity plus(Capacity other) {
		return new Capacity(this.cpuMillis + other.cpuMillis, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * Returns the difference, whose components may be negative.
	 * @param other the amount to subtract, not null
	 * @return the difference, not null
	 */
	public Capacity minus(Capacity other) {
		return new Capacity(this.cpuMillis - other.cpuMillis, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	/**
	 * Tests whether this amount fits into another one.
	 * @param available the other amount, not null
	 * @return true if no component of this amount exceeds that of the other one
	 */
	public boolean fits(Capacity available) {
		return this.cpuMillis <= available.cpuMillis && this.memoryMb <= available.memoryMb
				&& this.accelerators <= available.accelerators;
	}

}
