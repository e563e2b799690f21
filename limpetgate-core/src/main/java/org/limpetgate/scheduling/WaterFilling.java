package org.limpetgate.scheduling;

import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Divides a capacity by weighted max-min fairness: all flows are raised to the same level
 * per weight, and a flow whose demand is met takes no more. Pure; immutable and
 * thread-safe.
 */
final class WaterFilling {

	private static final int NO_FLOW = -1;

	private final double[] demands;

	private final double[] weights;

	private final double capacity;

	private final double totalWeight;

	/** The flows by demand per weight, lowest first. */
	private final int[] order;

	private final double level;

	/**
	 * Divides a capacity.
	 * @param demands the demand of each flow, at least 0, not null
	 * @param weights the weight of each flow, above 0, not null
	 * @param capacity the capacity, at least 0
	 */
	WaterFilling(double[] demands, double[] weights, double capacity) {
		this.demands = demands.clone();
		this.weights = weights.clone();
		this.capacity = capacity;
		this.totalWeight = IntStream.range(0, weights.length).mapToDouble((flow) -> weights[flow]).sum();
		this.order = IntStream.range(0, demands.length)
			.boxed()
			.sorted(Comparator.comparingDouble((flow) -> demands[flow] / weights[flow]))
			.mapToInt(Integer::intValue)
			.toArray();
		this.level = levelWith(NO_FLOW);
	}

	/**
	 * Returns the max-min share of a flow.
	 * @param flow the number of the flow
	 * @return the share, at most the demand of the flow
	 */
	double share(int flow) {
		return Math.min(this.demands[flow], this.weights[flow] * this.level);
	}

	/**
	 * Returns the share that a flow would have with unlimited demand. The others keep
	 * what they are entitled to.
	 * @param flow the number of the flow
	 * @return the share, at least {@link #share}
	 */
	double entitlement(int flow) {
		return Math.max(share(flow), this.weights[flow] * levelWith(flow));
	}

	// Returns the level per weight, where the demand of one flow counts as unlimited.
	private double levelWith(int unlimitedFlow) {
		double remaining = this.capacity;
		double weight = this.totalWeight;
		for (int flow : this.order) {
			if (flow == unlimitedFlow) {
				continue;
			}
			if (this.demands[flow] * weight > this.weights[flow] * remaining) {
				return remaining / weight;
			}
			remaining = Math.max(0, remaining - this.demands[flow]);
			weight -= this.weights[flow];
		}
		return (unlimitedFlow != NO_FLOW) ? remaining / this.weights[unlimitedFlow] : Double.MAX_VALUE;
	}

}
