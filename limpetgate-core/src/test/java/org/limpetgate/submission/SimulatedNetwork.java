package org.limpetgate.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.DataCentreId;
import org.limpetgate.Incarnation;

/**
 * The hosts of a {@link SubmissionSimulation} and the partitions between them.
 * <p>
 * A partition separates two hosts or two data centres, in both directions, until its time
 * ends. Not thread-safe.
 */
final class SimulatedNetwork {

	private static final long MS = SimulationLoop.MS;

	private static final long SECOND = SimulationLoop.SECOND;

	private final SimulationLoop loop;

	private final List<SimulatedEntryHost> hosts = new ArrayList<>();

	private final Map<String, Long> partitionedUntil = new HashMap<>();

	private long nextRequest;

	SimulatedNetwork(SimulationLoop loop) {
		this.loop = loop;
	}

	List<SimulatedEntryHost> hosts() {
		return this.hosts;
	}

	SimulatedEntryHost hostOf(Incarnation target) {
		return this.hosts.stream().filter((host) -> host.id().equals(target.host())).findFirst().orElseThrow();
	}

	SimulatedEntryHost randomHost() {
		return this.loop.randomElement(this.hosts);
	}

	SimulatedEntryHost randomHostOf(DataCentreId dataCentre) {
		return this.loop
			.randomElement(this.hosts.stream().filter((host) -> host.dataCentre().equals(dataCentre)).toList());
	}

	boolean isPartitioned(SimulatedEntryHost one, SimulatedEntryHost other) {
		return isPartitioned(one.id().value(), other.id().value())
				|| isPartitioned(one.dataCentre().value(), other.dataCentre().value());
	}

	private boolean isPartitioned(String one, String other) {
		return this.partitionedUntil.getOrDefault(one + "," + other, 0L) > this.loop.now()
				|| this.partitionedUntil.getOrDefault(other + "," + one, 0L) > this.loop.now();
	}

	// Returns a new number for a request of a caller or a peer.
	long nextRequest() {
		return ++this.nextRequest;
	}

	void add(SimulatedEntryHost host) {
		this.hosts.add(host);
	}

	void partition(String one, String other) {
		this.partitionedUntil.put(one + "," + other, this.loop.now() + this.loop.randomBetween(100 * MS, 15 * SECOND));
	}

	void endPartitions() {
		this.partitionedUntil.clear();
	}

}
