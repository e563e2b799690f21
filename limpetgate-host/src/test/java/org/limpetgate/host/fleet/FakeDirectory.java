package org.limpetgate.host.fleet;

import java.util.List;
import java.util.Set;

import org.limpetgate.DataCentreId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.Directory;
import org.limpetgate.fleet.QueueTable;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * A directory with a fixed configuration, whose workers are listed when the test or the
 * host asks for it. A host stands for election only after that. Confined to the event
 * loop of the host, apart from {@link #isScheduling}.
 */
final class FakeDirectory implements Directory {

	private Listener listener;

	/** The workers that the store lists now. */
	private List<WorkerInfo> storedWorkers = List.of();

	private boolean storeAway;

	private volatile boolean scheduling;

	@Override
	public void start(Listener startedListener) {
		this.listener = startedListener;
		startedListener.configurationChanged(QueueTable.of(1, List.of()), Source.STORE, UNKNOWN_AGE);
	}

	void listWorkers(List<WorkerInfo> workers) {
		store(workers);
		readWorkers();
	}

	// Changes what the next read finds.
	void store(List<WorkerInfo> workers) {
		this.storedWorkers = workers;
	}

	void setStoreAway(boolean value) {
		this.storeAway = value;
	}

	// Hands over the drained data centres of a version, as a read of the store does.
	void drain(long version, Set<DataCentreId> dataCentres) {
		this.listener.drainsChanged(new DataCentreDrains(version, dataCentres), 0);
	}

	@Override
	public void offerConfiguration(byte[] text) {
		// All hosts have the same configuration.
	}

	@Override
	public byte[] configurationText() {
		return null;
	}

	@Override
	public long configurationAgeNanos() {
		return 0;
	}

	@Override
	public void setScheduling(boolean value) {
		this.scheduling = value;
	}

	@Override
	public void readWorkers() {
		if (!this.storeAway) {
			this.listener.workersListed(this.storedWorkers);
			this.listener.workersRead(0);
		}
	}

	boolean isScheduling() {
		return this.scheduling;
	}

}
