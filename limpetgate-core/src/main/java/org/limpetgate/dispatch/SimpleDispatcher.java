package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.limpetgate.ErrorKind;
import org.limpetgate.Resources;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Upstream;

/**
 * A dispatcher with one first-in first-out queue per pool and a simple load-balancing
 * rule.
 * <p>
 * It is the baseline of the experiments. Unless it is limited by shares, it sends as many
 * attempts to an upstream as the connection limit allows, as an ordinary load balancer
 * does, and tasks queue at the upstreams.
 */
public final class SimpleDispatcher extends AbstractDispatcher {

	private static final long RETRY_AFTER_NANOS = 1_000_000_000L;

	private static final long FIRST_BACKOFF_NANOS = 10_000_000L;

	private final ChoiceRule rule;

	private final boolean limitedByShares;

	private final RandomGenerator random;

	private final List<UpstreamEntity> candidates = new ArrayList<>();

	private SimpleDispatcher(DispatchSettings settings, ChoiceRule rule, boolean limitedByShares,
			RandomGenerator random) {
		super(settings);
		this.rule = Objects.requireNonNull(rule, "rule");
		this.limitedByShares = limitedByShares;
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Returns a dispatcher that is limited to this host's share of each upstream's slots.
	 * @param settings the settings, not null
	 * @param rule the selection rule, not null
	 * @param random the source of random choices, not null
	 * @return the dispatcher, not null
	 */
	public static SimpleDispatcher withinShares(DispatchSettings settings, ChoiceRule rule, RandomGenerator random) {
		return new SimpleDispatcher(settings, rule, true, random);
	}

	/**
	 * Returns a dispatcher that is limited only by the connections per upstream.
	 * @param settings the settings, not null
	 * @param rule the selection rule, not null
	 * @param random the source of random choices, not null
	 * @return the dispatcher, not null
	 */
	public static SimpleDispatcher withinConnections(DispatchSettings settings, ChoiceRule rule,
			RandomGenerator random) {
		return new SimpleDispatcher(settings, rule, false, random);
	}

	@Override
	Admission admit(TaskEntity task, long nowNanos) {
		Resources needed = task.request.resources();
		boolean possible = task.pool.row.upstreams()
			.stream()
			.anyMatch((upstream) -> upstream.slots() > 0 || needed.isWithin(upstream.resources()));
		if (!possible) {
			return Admission.refused(ErrorKind.IMPOSSIBLE,
					"no upstream of pool '" + task.pool.row.name() + "' has " + needed.cores() + " cores, "
							+ needed.memoryMb() + " MB and accelerators: " + needed.accelerators(),
					0);
		}
		Admission refusal = refusalByQueueLimits(task, RETRY_AFTER_NANOS);
		return (refusal != null) ? refusal : Admission.accepted();
	}

	@Override
	void enqueue(TaskEntity task, long nowNanos) {
		task.pool.fifoQueue.addLast(task);
	}

	@Override
	void dispatch(long nowNanos) {
		for (PoolEntity pool : this.pools.values()) {
			while (pool.fifoQueue.peek() != null) {
				TaskEntity task = pool.fifoQueue.peek();
				UpstreamEntity upstream = select(task);
				if (upstream == null) {
					break;
				}
				AttemptEntity attempt = start(task, upstream, false, this.rule.name(), nowNanos);
				attempt.booked = task.request.resources();
				upstream.booked = upstream.booked.plus(attempt.booked);
			}
		}
	}

	@Override
	void released(AttemptEntity attempt, AttemptResult result, long nowNanos) {
		attempt.upstream.booked = attempt.upstream.booked.minus(attempt.booked);
	}

	private UpstreamEntity select(TaskEntity task) {
		this.candidates.clear();
		for (UpstreamEntity upstream : task.pool.upstreams) {
			if (upstream.isAvailable() && fits(task, upstream)) {
				this.candidates.add(upstream);
			}
		}
		if (this.candidates.size() > 1) {
			this.candidates.remove(task.avoidedUpstream);
		}
		if (this.candidates.isEmpty()) {
			return null;
		}
		UpstreamEntity first = this.candidates.get(this.random.nextInt(this.candidates.size()));
		return switch (this.rule) {
			case RANDOM -> first;
			case POWER_OF_TWO -> lessLoaded(first, this.candidates.get(this.random.nextInt(this.candidates.size())));
			case LEAST_IN_FLIGHT -> this.candidates.stream().reduce(first, SimpleDispatcher::lessLoaded);
		};
	}

	private static boolean fits(TaskEntity task, UpstreamEntity upstream) {
		return upstream.row.slots() > 0
				|| task.request.resources().plus(upstream.booked).isWithin(upstream.row.resources());
	}

	private static UpstreamEntity lessLoaded(UpstreamEntity left, UpstreamEntity right) {
		return (right.inFlight < left.inFlight) ? right : left;
	}

	@Override
	long retryDelay(TaskEntity task, AttemptResult result, long nowNanos) {
		if (!task.pool.budget.tryWithdraw(0)) {
			return -1;
		}
		long backoff = FIRST_BACKOFF_NANOS << (task.attempts - 1);
		return backoff / 2 + this.random.nextLong(backoff);
	}

	@Override
	void sharesChanged(long nowNanos) {
		double[] weights = new double[this.peers.size() + 1];
		int ownIndex = 0;
		while (ownIndex < this.peers.size() && this.peers.get(ownIndex).host().compareTo(this.settings.host()) < 0) {
			ownIndex++;
		}
		for (int i = 0; i < weights.length; i++) {
			weights[i] = (i == ownIndex) ? this.settings.size() : this.peers.get((i < ownIndex) ? i : i - 1).size();
		}
		SlotShares slotShares = new SlotShares(weights, ownIndex);
		for (PoolEntity pool : this.pools.values()) {
			for (int i = 0; i < pool.upstreams.size(); i++) {
				UpstreamEntity upstream = pool.upstreams.get(i);
				upstream.limit = limit(pool, upstream.row, slotShares, i);
			}
		}
	}

	private int limit(PoolEntity pool, Upstream row, SlotShares slotShares, int index) {
		int connections = pool.row.connectionsPerUpstream();
		if (!this.limitedByShares) {
			return connections;
		}
		if (pool.row.kind() == PoolKind.WORKERS) {
			return slotShares.of(1, index) * connections;
		}
		return Math.min(connections, slotShares.of(row.slots(), index));
	}

}
