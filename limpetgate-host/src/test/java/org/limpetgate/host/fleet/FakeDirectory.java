package org.limpetgate.host.fleet;

import java.util.List;
import java.util.Set;

import org.limpetgate.DataCentreId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.Directory;
import org.limpetgate.fleet.QueueTable;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * A directory with a fixed configuration, whose workers are listed when the test asks for
 * it. A host stands for election only after that. Confined to the event loop of the host,
 * apart from {@link #isScheduling}.
 */
final class FakeDirectory implements Directory {

	private Listener listener;

	private volatile boolean scheduling;

	@Override
	public void start(Listener startedListener) {
		this.listener = startedListener;
		startedListener.configurationChanged(QueueTable.of(1, List.of()));
	}

	void listWorkers(List<WorkerInfo> workers) {
		this.listener.workersListed(workers);
		this.listener.workersRead(0);
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
	public void setScheduling(boolean value) {
		this.scheduling = value;
	}

	boolean isScheduling() {
		return this.scheduling;
	}

}
