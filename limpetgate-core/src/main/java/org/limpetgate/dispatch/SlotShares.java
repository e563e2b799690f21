package org.limpetgate.dispatch;

/**
 * Divides slots among hosts by weight and returns the number of slots of one host.
 * <p>
 * Each host computes its share from the same weights, so that together the hosts use each
 * slot exactly once. Immutable.
 */
final class SlotShares {

	/** Offset between consecutive upstreams that distributes the rounding evenly. */
	private static final double GOLDEN_RATIO = 0.6180339887498949;

	private final double from;

	private final double to;

	/**
	 * Computes the share of one host.
	 * @param weights the weights of all hosts in the order of their ids, at least 0
	 * @param host the index of the host in the weights
	 */
	SlotShares(double[] weights, int host) {
		double totalWeight = 0;
		double weightBefore = 0;
		for (int i = 0; i < weights.length; i++) {
			weightBefore += (i < host) ? weights[i] : 0;
			totalWeight += weights[i];
		}
		this.from = (totalWeight > 0) ? weightBefore / totalWeight : 0;
		this.to = (host == weights.length - 1) ? 1 : (weightBefore + weights[host]) / totalWeight;
	}

	/**
	 * Returns the slots of the host at one upstream. The slots that cannot be divided
	 * evenly rotate among the hosts over consecutive indexes, so that each host's total
	 * approaches its weight.
	 * @param slots the slots of the upstream
	 * @param index the index of the upstream in the pool
	 * @return the slots; the sum over all hosts is exactly {@code slots}
	 */
	int of(int slots, int index) {
		double offset = (index * GOLDEN_RATIO) % 1;
		return (int) Math.floor(slots * this.to + offset) - (int) Math.floor(slots * this.from + offset);
	}

}
