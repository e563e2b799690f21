package org.limpetgate.config;

import java.util.List;
import java.util.Objects;

import org.limpetgate.PoolName;

/**
 * A row of the pools table.
 *
 * @param name the name, by which routes refer to the pool
 * @param kind whether the upstreams are runners or workers
 * @param upstreams the upstreams, in the order of the table
 * @param connectionsPerUpstream the maximum number of connections from one entry host to
 * one upstream, at least 1
 * @param queueTasks the maximum number of queued tasks at one entry host, at least 1
 * @param queueBytes the maximum size of all queued bodies at one entry host, in bytes, at
 * least 1
 * @param retryPercent retries and hedges allowed, in percent of the first attempts
 * @param quotas the quotas of callers, in the order of the table; other callers have
 * {@link CallerQuota#ofDefaults}
 */
public record Pool(PoolName name, PoolKind kind, List<Upstream> upstreams, int connectionsPerUpstream, int queueTasks,
		long queueBytes, int retryPercent, List<CallerQuota> quotas) {

	/** Default limit on connections from one entry host to one upstream. */
	public static final int DEFAULT_CONNECTIONS = 60;

	/** Default limit on queued tasks. */
	public static final int DEFAULT_QUEUE_TASKS = 20_000;

	/** Default limit on the size of all queued bodies, in bytes. */
	public static final long DEFAULT_QUEUE_BYTES = 64L * 1024 * 1024;

	/** Default retry budget, in percent of the first attempts. */
	public static final int DEFAULT_RETRY_PERCENT = 10;

	public Pool {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(kind, "kind");
		upstreams = List.copyOf(upstreams);
		quotas = List.copyOf(quotas);
	}

	/**
	 * Creates a pool without quotas.
	 * @param name the name
	 * @param kind whether the upstreams are runners or workers
	 * @param upstreams the upstreams
	 * @param connectionsPerUpstream the maximum number of connections to one upstream
	 * @param queueTasks the maximum number of queued tasks
	 * @param queueBytes the maximum size of all queued bodies, in bytes
	 * @param retryPercent retries and hedges allowed, in percent of the first attempts
	 */
	public Pool(PoolName name, PoolKind kind, List<Upstream> upstreams, int connectionsPerUpstream, int queueTasks,
			long queueBytes, int retryPercent) {
		this(name, kind, upstreams, connectionsPerUpstream, queueTasks, queueBytes, retryPercent, List.of());
	}

	/**
	 * Returns a pool with default limits.
	 * @param name the name, not null
	 * @param kind the kind, not null
	 * @param upstreams the upstreams, not null
	 * @return the pool, not null
	 */
	public static Pool of(PoolName name, PoolKind kind, List<Upstream> upstreams) {
		return new Pool(name, kind, upstreams, DEFAULT_CONNECTIONS, DEFAULT_QUEUE_TASKS, DEFAULT_QUEUE_BYTES,
				DEFAULT_RETRY_PERCENT);
	}

	/**
	 * Returns this pool with other quotas.
	 * @param newQuotas the quotas, not null
	 * @return the pool, not null
	 */
	public Pool withQuotas(List<CallerQuota> newQuotas) {
		return new Pool(this.name, this.kind, this.upstreams, this.connectionsPerUpstream, this.queueTasks,
				this.queueBytes, this.retryPercent, newQuotas);
	}

}
