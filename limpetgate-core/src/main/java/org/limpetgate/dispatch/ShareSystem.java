package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.limpetgate.PoolName;
import org.limpetgate.Resources;

/**
 * Divides the slots of each upstream, or the cores and memory of each worker, among the
 * entry hosts of the data centre.
 * <p>
 * Each host computes the division from the published demand of all hosts, its own
 * included, so that hosts with the same view use each slot once. A host gets its demand
 * up to its part by size first; what is left goes to the hosts that want more, by size,
 * and the rest to all by size.
 */
final class ShareSystem {

	/** The part of its size that each host keeps, for the first tasks of a burst. */
	private static final double KEPT = 0.1;

	private final DispatchSettings settings;

	private Map<PoolName, PeerLoad.Demand> published = Map.of();

	ShareSystem(DispatchSettings settings) {
		this.settings = settings;
	}

	void publish(Map<PoolName, PeerLoad.Demand> demand) {
		this.published = Map.copyOf(demand);
	}

	/**
	 * Sets the limit of each upstream of a pool.
	 * @param pool the pool
	 * @param peers the peers in the order of their ids
	 */
	void divide(PoolEntity pool, List<PeerLoad> peers) {
		List<PeerLoad> hosts = new ArrayList<>(peers);
		PeerLoad self = new PeerLoad(this.settings.host(), this.settings.size(), this.published);
		int own = 0;
		while (own < hosts.size() && hosts.get(own).host().compareTo(self.host()) < 0) {
			own++;
		}
		hosts.add(own, self);
		double[] weights = allocate(pool, hosts, units(pool));
		if (pool.isWorkers()) {
			divideWorkers(pool, weights, own);
		}
		else {
			divideSlots(pool, weights, own);
		}
		pool.upstreams.forEach(pool::updateOpen);
		pool.countCapacity();
	}

	private static void divideSlots(PoolEntity pool, double[] weights, int own) {
		SlotShares shares = new SlotShares(weights, own);
		for (int i = 0; i < pool.upstreams.size(); i++) {
			UpstreamEntity upstream = pool.upstreams.get(i);
			int slots = shares.of(upstream.row.slots(), i);
			upstream.limit = Math.min(pool.row.connectionsPerUpstream(), slots);
		}
	}

	/**
	 * Lays the cores of all workers in a row and gives each host a stretch of it, so that
	 * all but the workers at the ends of a stretch belong to one host. Parts of many
	 * workers would be too small for tasks of several cores. The order is by the hash of
	 * the id, which spreads the racks over the hosts.
	 * @param pool the pool
	 * @param weights the weights of all hosts
	 * @param own the index of the own host
	 */
	private static void divideWorkers(PoolEntity pool, double[] weights, int own) {
		double all = pool.inHashOrder.stream().mapToDouble(ShareSystem::cores).sum();
		double sum = Arrays.stream(weights).sum();
		double before = Arrays.stream(weights, 0, own).sum();
		long from = Math.round(all * before / sum);
		long to = Math.round(all * (before + weights[own]) / sum);
		double position = 0;
		for (UpstreamEntity worker : pool.inHashOrder) {
			double cores = cores(worker);
			double start = Math.max(from, position);
			double end = Math.min(to, position + cores);
			double part = Math.max(0, end - start) / cores;
			Resources row = worker.row.resources();
			worker.takesLarge = start <= position + cores / 2 && end > position + cores / 2;
			worker.share = new Resources(row.cores() * part, (long) (row.memoryMb() * part),
					worker.takesLarge ? row.accelerators() : 0);
			worker.limit = (part > 0) ? pool.row.connectionsPerUpstream() : 0;
			position += cores;
		}
	}

	private static double cores(UpstreamEntity worker) {
		return Math.max(1, worker.row.resources().cores());
	}

	private static int units(PoolEntity pool) {
		int units = 0;
		for (UpstreamEntity upstream : pool.upstreams) {
			units += pool.isWorkers() ? 1 : upstream.row.slots();
		}
		return units;
	}

	private double[] allocate(PoolEntity pool, List<PeerLoad> hosts, int units) {
		double sizes = hosts.stream().mapToInt(PeerLoad::size).sum();
		double[] wanted = new double[hosts.size()];
		double[] given = new double[hosts.size()];
		for (int i = 0; i < wanted.length; i++) {
			double kept = KEPT * units * hosts.get(i).size() / sizes;
			wanted[i] = Math.max(kept, demand(pool, hosts.get(i)));
		}
		double left = units;
		for (int round = 0; round < wanted.length && left > 0; round++) {
			left -= fill(hosts, wanted, given, left);
		}
		for (int i = 0; i < given.length; i++) {
			given[i] += Math.max(0, left) * hosts.get(i).size() / sizes;
		}
		return given;
	}

	private static double fill(List<PeerLoad> hosts, double[] wanted, double[] given, double left) {
		double sizes = 0;
		for (int i = 0; i < given.length; i++) {
			sizes += (given[i] < wanted[i]) ? hosts.get(i).size() : 0;
		}
		double used = 0;
		for (int i = 0; i < given.length && sizes > 0; i++) {
			if (given[i] < wanted[i]) {
				double more = Math.min(wanted[i] - given[i], left * hosts.get(i).size() / sizes);
				given[i] += more;
				used += more;
			}
		}
		return used;
	}

	private static double demand(PoolEntity pool, PeerLoad host) {
		PeerLoad.Demand demand = host.demand().get(pool.row.name());
		if (demand == null) {
			return 0;
		}
		int tasks = demand.queued() + demand.inFlight();
		return pool.isWorkers() ? tasks * pool.unitsPerTask : tasks;
	}

}
