package org.limpetgate.dispatch;

import java.util.Arrays;

/**
 * Divides whole slots among hosts.
 * <p>
 * All hosts compute the same division from the same weights, so that together they use
 * each slot once.
 */
final class SlotShares {

	/** Spreads the rounding of consecutive upstreams evenly. */
	private static final double GOLDEN_RATIO = 0.6180339887498949;

	private SlotShares() {
	}

	/**
	 * Returns the slots of one host at one upstream. Over consecutive indexes the parts
	 * that do not come out even rotate among the hosts, so that each host's sum
	 * approaches its weight.
	 * @param slots the slots of the upstream
	 * @param weights the weights of all hosts in the order of their ids, at least 0
	 * @param host the index of the host in the weights
	 * @param index the index of the upstream in the pool
	 * @return the slots of the host; the sum over all hosts is exactly {@code slots}
	 */
	static int share(int slots, double[] weights, int host, int index) {
		double total = Arrays.stream(weights).sum();
		if (total <= 0) {
			return 0;
		}
		double offset = (index * GOLDEN_RATIO) % 1;
		double before = 0;
		for (int i = 0; i < host; i++) {
			before += weights[i];
		}
		double from = slots * before / total + offset;
		double to = (host == weights.length - 1) ? slots + offset : slots * (before + weights[host]) / total + offset;
		return (int) Math.floor(to) - (int) Math.floor(from);
	}

}
