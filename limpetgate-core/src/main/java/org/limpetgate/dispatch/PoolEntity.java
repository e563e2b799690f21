package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.CallerId;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.CallerQuota;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Route;
import org.limpetgate.config.Upstream;

/**
 * A pool at this host: its upstreams in the local data centre and its queued tasks. Times
 * are in nanoseconds.
 */
final class PoolEntity {

	/** Lower bound that keeps wait estimates finite while the host has no share. */
	static final double MIN_CAPACITY = 0.1;

	private static final int MAX_JOBS = 4096;

	final Map<UpstreamId, UpstreamEntity> upstreamsById = new HashMap<>();

	final Map<CallerId, CallerEntity> callers = new HashMap<>();

	private final Map<CallerId, CallerQuota> quotas = new HashMap<>();

	private final Map<RouteName, Integer> routeLimits = new HashMap<>();

	final Map<RouteName, RouteEntity> routes = new HashMap<>();

	final Map<RouteName, JobEntity> jobsByRoute = new HashMap<>();

	/** The most recent jobs; the oldest one is evicted. */
	final Map<Long, JobEntity> jobs = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, JobEntity> eldest) {
			return size() > MAX_JOBS;
		}

	};

	/** The configured upstreams, in the order of the table. */
	final List<UpstreamEntity> upstreams = new ArrayList<>();

	/** The configured upstreams in a hash order that is the same on every host. */
	final List<UpstreamEntity> upstreamsByHash = new ArrayList<>();

	/** The upstreams that may receive another attempt, in no particular order. */
	final List<UpstreamEntity> available = new ArrayList<>();

	/** The callers with queued tasks, in no particular order. */
	final List<CallerEntity> activeCallers = new ArrayList<>();

	/**
	 * The capacities of workers in all data centres, without those that fit within a
	 * larger one.
	 */
	final List<Resources> largestWorkers = new ArrayList<>();

	final TaskQueue fifoQueue = new TaskQueue();

	final RetryBudget budget = new RetryBudget();

	Pool row;

	/** Whether the configuration contains the pool. */
	boolean configured;

	int queuedTasks;

	long queuedBytes;

	int inFlight;

	/** The expected slot time of the queued tasks. */
	double queuedCost;

	/**
	 * The slots, or workers, in this host's share, without ejected upstreams.
	 */
	double capacity;

	/** The mean slot time of recent attempts. */
	double meanCost = 300_000_000;

	/**
	 * The virtual time of fair queueing: the highest among the callers when one of their
	 * tasks started.
	 */
	double virtualTime;

	long dispatchRound;

	/** The slots, or workers, that attempts of long tasks occupy. */
	double longUnitsInFlight;

	int longAttemptsInFlight;

	/** The short tasks queued or running; rises immediately and decays gradually. */
	double shortDemand;

	/** Ratio of actual to expected waiting times, smoothed. */
	double waitBias = 1;

	/** The last time at which the expected wait was within the queue delay target. */
	long lastWithinTargetAt;

	/** The last time at which the queue had stayed above the target for too long. */
	long lastStandingAt = Long.MIN_VALUE / 2;

	/** The earliest retry time not yet assigned to a refused caller. */
	long retriesAssignedUntil;

	/** The job of the last task accepted, 0 if it had none. */
	long lastAcceptedJob;

	/** The worker reserved for a large task, null for none. */
	UpstreamEntity reservedWorker;

	TaskEntity reservedFor;

	int ejected;

	/** The mean size of tasks, as a fraction of a worker. */
	double meanTaskSize = 0.1;

	/** The demand last published to the peers. */
	double publishedDemand;

	long refused;

	PoolEntity(Pool row) {
		this.row = row;
	}

	boolean isWorkers() {
		return this.row.kind() == PoolKind.WORKERS;
	}

	/**
	 * Replaces the row. An upstream whose row has changed loses its leaving mark and its
	 * learned slowness.
	 * @param newRow the new row
	 * @param settings the settings, which contain the local data centre
	 */
	void configure(Pool newRow, DispatchSettings settings) {
		this.row = newRow;
		this.upstreams.clear();
		this.largestWorkers.clear();
		this.upstreamsById.values().forEach((upstream) -> upstream.listed = false);
		for (Upstream upstream : newRow.upstreams()) {
			updateLargestWorkers(upstream.resources());
			if (upstream.dataCentre().equals(settings.dataCentre())) {
				listUpstream(upstream);
			}
		}
		this.upstreamsByHash.clear();
		this.upstreamsByHash.addAll(this.upstreams);
		this.upstreamsByHash.sort(Comparator.comparingInt((UpstreamEntity upstream) -> mixedHash(upstream.id))
			.thenComparing((upstream) -> upstream.id));
		this.upstreamsById.values().forEach(this::updateAvailable);
		this.upstreamsById.values().removeIf((upstream) -> !upstream.listed && upstream.inFlight == 0);
	}

	/**
	 * Applies the quotas of the row and the limits of the routes to existing and future
	 * tasks. Tasks already queued beyond a lowered limit stay queued.
	 * @param rows the routes of all pools
	 */
	void configureLimits(Collection<Route> rows) {
		this.quotas.clear();
		this.row.quotas().forEach((quota) -> this.quotas.put(quota.caller(), quota));
		this.callers.values().forEach((caller) -> caller.quota = quota(caller.id));
		this.routeLimits.clear();
		rows.forEach((route) -> this.routeLimits.put(route.name(), route.inFlight()));
		this.routes.values().forEach((route) -> route.limit = routeLimit(route.name));
	}

	private CallerQuota quota(CallerId caller) {
		CallerQuota quota = this.quotas.get(caller);
		return (quota != null) ? quota : CallerQuota.ofDefaults(caller);
	}

	private int routeLimit(RouteName route) {
		return this.routeLimits.getOrDefault(route, Route.DEFAULT_IN_FLIGHT);
	}

	/** Removes all upstreams; attempts in flight continue. */
	void removeUpstreams() {
		for (UpstreamEntity upstream : this.upstreams) {
			upstream.listed = false;
			updateAvailable(upstream);
		}
		this.upstreams.clear();
		this.upstreamsByHash.clear();
	}

	private static int mixedHash(UpstreamId id) {
		int hash = id.value().hashCode() * 0x9E3779B9;
		return hash ^ (hash >>> 15);
	}

	private void listUpstream(Upstream newRow) {
		UpstreamEntity entity = this.upstreamsById.computeIfAbsent(newRow.id(), (id) -> new UpstreamEntity(newRow));
		if (!entity.row.equals(newRow)) {
			entity.row = newRow;
			entity.leaving = false;
			entity.resetSlowness();
		}
		entity.listed = true;
		this.upstreams.add(entity);
	}

	private void updateLargestWorkers(Resources capacity) {
		if (this.largestWorkers.stream().noneMatch(capacity::isWithin)) {
			this.largestWorkers.removeIf((smaller) -> smaller.isWithin(capacity));
			this.largestWorkers.add(capacity);
		}
	}

	/**
	 * Adds an upstream to the list of available ones or removes it, in O(1).
	 * @param upstream the upstream whose state has changed
	 */
	void updateAvailable(UpstreamEntity upstream) {
		boolean isAvailable = upstream.isAvailable();
		if (isAvailable && upstream.availableIndex < 0) {
			upstream.availableIndex = this.available.size();
			this.available.add(upstream);
		}
		else if (!isAvailable && upstream.availableIndex >= 0) {
			UpstreamEntity last = this.available.remove(this.available.size() - 1);
			if (last != upstream) {
				this.available.set(upstream.availableIndex, last);
				last.availableIndex = upstream.availableIndex;
			}
			upstream.availableIndex = -1;
		}
	}

	void updateCapacity() {
		double units = 0;
		for (UpstreamEntity upstream : this.upstreams) {
			if (upstream.isListed() && upstream.health == UpstreamEntity.Health.GOOD) {
				units += isWorkers() ? UpstreamSelector.dominantShare(upstream.share, upstream.row.resources())
						: upstream.limit;
			}
		}
		this.capacity = units;
	}

	CallerEntity caller(CallerId id) {
		return this.callers.computeIfAbsent(id, (key) -> new CallerEntity(quota(key)));
	}

	RouteEntity route(RouteName name) {
		return this.routes.computeIfAbsent(name, (key) -> {
			RouteEntity route = new RouteEntity(key, this.routes.size());
			route.limit = routeLimit(key);
			return route;
		});
	}

	JobEntity job(TaskRequest request) {
		if (request.job() == 0) {
			return this.jobsByRoute.computeIfAbsent(request.route(), (key) -> new JobEntity());
		}
		return this.jobs.computeIfAbsent(request.job(), (key) -> new JobEntity());
	}

	/**
	 * Returns the time to process all queued tasks at the current capacity.
	 * @return the time in nanoseconds
	 */
	double expectedWait() {
		return this.waitBias * this.queuedCost / Math.max(MIN_CAPACITY, this.capacity);
	}

}
