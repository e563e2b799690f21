package org.limpetgate;

/**
 * An amount of worker resources.
 *
 * @param cores processor cores, at least 0
 * @param memoryMb memory in MB, at least 0
 * @param accelerators number of accelerators, at least 0
 */
public record Resources(double cores, long memoryMb, int accelerators) {

	/** No resources. */
	public static final Resources NONE = new Resources(0, 0, 0);

	public Resources {
		if (!(cores >= 0) || memoryMb < 0 || accelerators < 0) {
			throw new IllegalArgumentException("resources must not be negative or NaN; use 0 or more");
		}
	}

	/**
	 * Returns the sum of both amounts.
	 * @param other the amount to add, not null
	 * @return the sum, not null
	 */
	public Resources plus(Resources other) {
		return new Resources(this.cores + other.cores, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * Returns the difference of both amounts.
	 * @param other the amount to subtract, not null
	 * @return the difference, with negative components replaced by 0, not null
	 */
	public Resources minus(Resources other) {
		return new Resources(Math.max(0, this.cores - other.cores), Math.max(0, this.memoryMb - other.memoryMb),
				Math.max(0, this.accelerators - other.accelerators));
	}

	/**
	 * Tests whether this amount fits into a capacity.
	 * @param capacity the capacity, not null
	 * @return true if no component exceeds that of the capacity
	 */
	public boolean isWithin(Resources capacity) {
		return this.cores <= capacity.cores && this.memoryMb <= capacity.memoryMb
				&& this.accelerators <= capacity.accelerators;
	}

}
