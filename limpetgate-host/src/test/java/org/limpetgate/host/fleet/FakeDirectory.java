package org.limpetgate.host.fleet;

import java.util.List;

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
