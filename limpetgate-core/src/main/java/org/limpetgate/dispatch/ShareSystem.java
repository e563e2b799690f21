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
 * Each host computes the same weighted max-min allocation from the published demand of
 * all hosts, its own included, so that hosts with the same view assign each slot to
 * exactly one host. First, each host gets its demand, up to its share by size; the
 * remainder goes to hosts with more demand, by size, and what no host demands goes to all
 * hosts by size.
 */
final class ShareSystem {

	/**
	 * Fraction of its share by size that an idle host keeps for the first tasks of a
	 * burst.
	 */
	private static final double GUARANTEED_FRACTION = 0.1;

	private final DispatchSettings settings;

	private Map<PoolName, PeerLoad.Demand> publishedDemand = Map.of();

	ShareSystem(DispatchSettings settings) {
		this.settings = settings;
	}

	void publish(Map<PoolName, PeerLoad.Demand> demand) {
		this.publishedDemand = Map.copyOf(demand);
	}

	/**
	 * Sets this host's limit or share at each upstream of a pool.
	 * @param pool the pool
	 * @param peers the peers in the order of their ids
	 */
	void divide(PoolEntity pool, List<PeerLoad> peers) {
		List<PeerLoad> hosts = new ArrayList<>(peers);
		PeerLoad self = new PeerLoad(this.settings.host(), this.settings.size(), this.publishedDemand);
		int ownIndex = 0;
		while (ownIndex < hosts.size() && hosts.get(ownIndex).host().compareTo(self.host()) < 0) {
			ownIndex++;
		}
		hosts.add(ownIndex, self);
		double[] weights = allocate(pool, hosts, totalUnits(pool));
		if (pool.isWorkers()) {
			divideWorkers(pool, weights, ownIndex);
		}
		else {
			divideSlots(pool, weights, ownIndex);
		}
		pool.upstreams.forEach(pool::updateAvailable);
		pool.updateCapacity();
	}

	private static void divideSlots(PoolEntity pool, double[] weights, int ownIndex) {
		SlotShares shares = new SlotShares(weights, ownIndex);
		for (int i = 0; i < pool.upstreams.size(); i++) {
			UpstreamEntity upstream = pool.upstreams.get(i);
			int slots = shares.of(upstream.row.slots(), i);
			upstream.limit = Math.min(pool.row.connectionsPerUpstream(), slots);
		}
	}

	/**
	 * Partitions the cores of all workers, in a fixed order, into one contiguous range
	 * per host, so that only the workers at the ends of a range are divided between
	 * hosts. Fractions of many workers would be too small for tasks of several cores. The
	 * order is by the hash of the id, which spreads the racks over the hosts.
	 * @param pool the pool
	 * @param weights the weights of all hosts
	 * @param ownIndex the index of this host
	 */
	private static void divideWorkers(PoolEntity pool, double[] weights, int ownIndex) {
		double totalCores = pool.upstreamsByHash.stream().mapToDouble(ShareSystem::cores).sum();
		double totalWeight = Arrays.stream(weights).sum();
		double weightBefore = Arrays.stream(weights, 0, ownIndex).sum();
		long from = Math.round(totalCores * weightBefore / totalWeight);
		long to = Math.round(totalCores * (weightBefore + weights[ownIndex]) / totalWeight);
		double position = 0;
		for (UpstreamEntity worker : pool.upstreamsByHash) {
			double cores = cores(worker);
			double start = Math.max(from, position);
			double end = Math.min(to, position + cores);
			double fraction = Math.max(0, end - start) / cores;
			Resources capacity = worker.row.resources();
			worker.placesLargeTasks = start <= position + cores / 2 && end > position + cores / 2;
			worker.share = new Resources(capacity.cores() * fraction, (long) (capacity.memoryMb() * fraction),
					worker.placesLargeTasks ? capacity.accelerators() : 0);
			worker.limit = (fraction > 0) ? pool.row.connectionsPerUpstream() : 0;
			position += cores;
		}
	}

	private static double cores(UpstreamEntity worker) {
		return Math.max(1, worker.row.resources().cores());
	}

	private static int totalUnits(PoolEntity pool) {
		int units = 0;
		for (UpstreamEntity upstream : pool.upstreams) {
			units += pool.isWorkers() ? 1 : upstream.row.slots();
		}
		return units;
	}

	private double[] allocate(PoolEntity pool, List<PeerLoad> hosts, int units) {
		double totalSize = hosts.stream().mapToInt(PeerLoad::size).sum();
		double[] requested = new double[hosts.size()];
		double[] allocated = new double[hosts.size()];
		for (int i = 0; i < requested.length; i++) {
			double guaranteed = GUARANTEED_FRACTION * units * hosts.get(i).size() / totalSize;
			requested[i] = Math.max(guaranteed, demand(pool, hosts.get(i)));
		}
		double remaining = units;
		for (int round = 0; round < requested.length && remaining > 0; round++) {
			remaining -= allocateBySize(hosts, requested, allocated, remaining);
		}
		for (int i = 0; i < allocated.length; i++) {
			allocated[i] += Math.max(0, remaining) * hosts.get(i).size() / totalSize;
		}
		return allocated;
	}

	private static double allocateBySize(List<PeerLoad> hosts, double[] requested, double[] allocated,
			double remaining) {
		double totalSize = 0;
		for (int i = 0; i < allocated.length; i++) {
			totalSize += (allocated[i] < requested[i]) ? hosts.get(i).size() : 0;
		}
		double newlyAllocated = 0;
		for (int i = 0; i < allocated.length && totalSize > 0; i++) {
			if (allocated[i] < requested[i]) {
				double more = Math.min(requested[i] - allocated[i], remaining * hosts.get(i).size() / totalSize);
				allocated[i] += more;
				newlyAllocated += more;
			}
		}
		return newlyAllocated;
	}

	private static double demand(PoolEntity pool, PeerLoad host) {
		PeerLoad.Demand demand = host.demand().get(pool.row.name());
		if (demand == null) {
			return 0;
		}
		int tasks = demand.queued() + demand.inFlight();
		return pool.isWorkers() ? tasks * pool.meanTaskSize : tasks;
	}

}
