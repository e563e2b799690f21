package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.limpetgate.DataCentreId;

/**
 * Shares the capacity of a service between flows, max-min fair by the rates at which
 * their work arrives.
 * <p>
 * A flow has the jobs of one queue whose callers are connected to one data centre. Its
 * guaranteed rate is the share that it would get if its demand were unlimited, so that a
 * flow that was idle has its share from its first job on. What it does not use is divided
 * among the others. A token bucket per flow, filled at the guaranteed rate, tells whether
 * an arriving job is within the share. It holds what the flow is guaranteed during the
 * time that the job can wait: jobs that arrive at once can then be started one after the
 * other without becoming late. The state is two numbers per flow. Not thread-safe.
 */
final class FairShares {

	/**
	 * The time constant of the decay of the demand of a flow. Bounds how long a share is
	 * lent after its flow has returned, and how long an idle share stays unused.
	 */
	static final long DEMAND_DECAY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Lets the bucket of a flow whose jobs cannot wait hold a job at all. */
	private static final long MIN_BUCKET_DEPTH_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/** The time for which a flow can save up its share at most. */
	static final long MAX_BUCKET_DEPTH_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The longest time for which one large job uses up the share of its flow. Bounds the
	 * effect of an estimate that is far too high.
	 */
	private static final long MAX_DEBT_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** The interval at which the shares are computed from the demands. */
	private static final long REFRESH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** A flow without jobs for this long is forgotten; its bucket is full by then. */
	private static final long IDLE_NANOS = 20 * DEMAND_DECAY_NANOS;

	private final Map<FlowId, Flow> flows = new HashMap<>();

	private final Map<String, Double> queueWeights;

	/** The whole capacity, less the work of the jobs within their shares. */
	private final Bucket unused = new Bucket(0);

	private boolean capacityKnown;

	private long refreshedNanos;

	/**
	 * Creates the shares of a service.
	 * @param queueWeights the weights of the flows of queues, above 0, not null; 1 for
	 * other queues
	 */
	FairShares(Map<String, Double> queueWeights) {
		this.queueWeights = Map.copyOf(queueWeights);
	}

	/**
	 * Tests whether the shares are due to be computed again.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return true if {@link #refresh} should be called
	 */
	boolean isRefreshDue(long nowNanos) {
		return nowNanos - this.refreshedNanos >= REFRESH_INTERVAL_NANOS;
	}

	/**
	 * Computes the guaranteed rates.
	 * @param capacity the usable capacity, in core seconds per second; 0 if no worker is
	 * usable
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 */
	void refresh(double capacity, long nowNanos) {
		this.refreshedNanos = nowNanos;
		this.capacityKnown = capacity > 0;
		this.unused.rate = capacity;
		for (Iterator<Flow> iterator = this.flows.values().iterator(); iterator.hasNext();) {
			if (nowNanos - iterator.next().updatedNanos > IDLE_NANOS) {
				iterator.remove();
			}
		}
		Flow[] present = this.flows.values().toArray(Flow[]::new);
		double[] demands = new double[present.length];
		double[] weights = new double[present.length];
		for (int number = 0; number < present.length; number++) {
			demands[number] = present[number].demandAt(nowNanos);
			weights[number] = present[number].weight;
		}
		WaterFilling filling = new WaterFilling(demands, weights, capacity);
		for (int number = 0; number < present.length; number++) {
			present[number].bucket.rate = filling.entitlement(number);
		}
	}

	/**
	 * Records an arriving job and tests whether it is within the share of its flow. It
	 * then uses up a part of the share. While the capacity is unknown, every job is.
	 * @param id the flow, not null
	 * @param work the work of the job, in core seconds, at least 0
	 * @param slackNanos how long the job can wait, in nanoseconds; the depth of the
	 * bucket
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return true if the job is within the share
	 */
	boolean jobArrived(FlowId id, double work, long slackNanos, long nowNanos) {
		Flow flow = this.flows.get(id);
		boolean added = flow == null;
		if (added) {
			flow = new Flow(this.queueWeights.getOrDefault(id.queue(), 1.0), nowNanos);
			this.flows.put(id, flow);
			// The rate of a flow without demand does not change that of the others.
			this.refreshedNanos = 0;
		}
		flow.add(work, nowNanos);
		return !this.capacityKnown || added || take(flow.bucket, work, slackNanos, nowNanos);
	}

	// Takes the work out of the bucket of its flow, or else out of what the other flows
	// leave unused at present.
	private boolean take(Bucket own, double work, long slackNanos, long nowNanos) {
		boolean ownShare = own.hasTokens(slackNanos, nowNanos);
		if (!ownShare && !this.unused.hasTokens(slackNanos, nowNanos)) {
			return false;
		}
		if (ownShare) {
			own.take(work, MAX_DEBT_NANOS, nowNanos);
		}
		this.unused.take(work, MAX_BUCKET_DEPTH_NANOS, nowNanos);
		return true;
	}

	/**
	 * The identity of a flow.
	 *
	 * @param queue the name of the queue, not null
	 * @param dataCentre the data centre of the host of the callers, empty if it is not
	 * known
	 */
	record FlowId(String queue, Optional<DataCentreId> dataCentre) {

	}

	private static final class Flow {

		private final double weight;

		/** The decayed sum of the work of its jobs, in core seconds. */
		private double decayedWork;

		private long updatedNanos;

		private final Bucket bucket;

		Flow(double weight, long nowNanos) {
			this.weight = weight;
			this.updatedNanos = nowNanos;
			this.bucket = new Bucket(nowNanos);
		}

		void add(double work, long nowNanos) {
			this.decayedWork = workAt(nowNanos) + work;
			this.updatedNanos = nowNanos;
		}

		private double workAt(long nowNanos) {
			return this.decayedWork * Math.exp(-(double) (nowNanos - this.updatedNanos) / DEMAND_DECAY_NANOS);
		}

		// Returns the rate at which work arrives, in core seconds per second.
		double demandAt(long nowNanos) {
			return workAt(nowNanos) * TimeUnit.SECONDS.toNanos(1) / DEMAND_DECAY_NANOS;
		}

	}

	/** A token bucket that is filled at a rate which changes. */
	private static final class Bucket {

		/** In core seconds per second. */
		private double rate;

		/**
		 * The time up to which jobs have used up the rate. The bucket holds what the rate
		 * gives from then to now.
		 */
		private long usedUntilNanos;

		Bucket(long nowNanos) {
			this.usedUntilNanos = nowNanos - MAX_BUCKET_DEPTH_NANOS;
		}

		boolean hasTokens(long slackNanos, long nowNanos) {
			long depth = Math.max(MIN_BUCKET_DEPTH_NANOS, Math.min(MAX_BUCKET_DEPTH_NANOS, slackNanos));
			this.usedUntilNanos = Math.max(this.usedUntilNanos, nowNanos - depth);
			return this.usedUntilNanos < nowNanos && this.rate > 0;
		}

		// A job that is larger than the rest of the bucket leaves a debt.
		void take(double work, long maxDebtNanos, long nowNanos) {
			double nanos = (this.rate > 0) ? work / this.rate * TimeUnit.SECONDS.toNanos(1) : 0;
			this.usedUntilNanos = (long) Math.min(this.usedUntilNanos + nanos, (double) nowNanos + maxDebtNanos);
		}

	}

}
