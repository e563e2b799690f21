package org.limpetgate.host.fleet;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.Directory;
import org.limpetgate.fleet.QueueTable;
import org.limpetgate.fleet.SchedulerElection;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.LogEvent;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * The newest state that the directory has reported to a {@link FleetHost}: the queues,
 * the workers, and whether the hosts are known. It passes changes on to the scheduler,
 * the election and the drains.
 * <p>
 * Invariant: the scheduler gets the listed workers of this host's data centre only,
 * unless the host may schedule on those of all data centres. Not thread-safe; used on the
 * event loop, apart from the metrics.
 */
final class DirectoryState implements Directory.Listener {

	/** The configuration version of a host that has no configuration yet. */
	static final long NO_VERSION = -1;

	private final FleetHost host;

	private final DataCentreId dataCentre;

	private final Scheduler scheduler;

	private final SchedulerElection election;

	private final DrainService drains;

	private final LongSupplier clock;

	private final EventLog log;

	private QueueTable queues;

	/** When it received the present queues, nanoseconds since the Unix epoch. */
	private long configurationSinceNanos;

	private Collection<WorkerInfo> workers = List.of();

	private boolean workersKnown;

	/**
	 * When the newest read of the workers was sent, nanoseconds since the Unix epoch, 0
	 * before the first one.
	 */
	private long workersReadNanos;

	/** Whether the directory has listed the hosts of the fleet. */
	private boolean hostsKnown;

	/** Whether this host may schedule on the workers of all data centres. */
	private boolean allDataCentres = true;

	DirectoryState(FleetHost host, DataCentreId dataCentre, Scheduler scheduler, SchedulerElection election,
			DrainService drains, LongSupplier clock, EventLog log) {
		this.host = host;
		this.dataCentre = dataCentre;
		this.scheduler = scheduler;
		this.election = election;
		this.drains = drains;
		this.clock = clock;
		this.log = log;
		this.scheduler.workerListProven(this.workersReadNanos);
	}

	QueueTable queues() {
		return this.queues;
	}

	long configurationSinceNanos() {
		return this.configurationSinceNanos;
	}

	// Returns an age in milliseconds; an unknown one remains unknown.
	static long ageMillis(long ageNanos) {
		return (ageNanos < 0) ? Directory.UNKNOWN_AGE : TimeUnit.NANOSECONDS.toMillis(ageNanos);
	}

	long configurationVersion() {
		QueueTable table = this.queues;
		return (table != null) ? table.version() : NO_VERSION;
	}

	int workerCount() {
		return this.workers.size();
	}

	boolean workersKnown() {
		return this.workersKnown;
	}

	long workersReadNanos() {
		return this.workersReadNanos;
	}

	boolean hostsKnown() {
		return this.hostsKnown;
	}

	boolean allDataCentres() {
		return this.allDataCentres;
	}

	// Sets whether this host may schedule on the workers of all data centres, and returns
	// whether that has changed.
	boolean setAllDataCentres(boolean all) {
		boolean changed = all != this.allDataCentres;
		this.allDataCentres = all;
		return changed;
	}

	// Passes the workers on which this host may schedule to the scheduler.
	void listWorkers(long nowNanos) {
		this.scheduler.workersListed(workersInScope(), this.allDataCentres, nowNanos);
	}

	private List<WorkerInfo> workersInScope() {
		return this.workers.stream()
			.filter((worker) -> this.allDataCentres || this.dataCentre.equals(worker.dataCentre()))
			.toList();
	}

	@Override
	public void configurationChanged(QueueTable table, Directory.Source source, long maxAgeNanos) {
		this.queues = table;
		this.configurationSinceNanos = this.clock.getAsLong();
		this.log.write(LogEvent.QUEUES_APPLIED, table.version(), table.size(), source.text(), ageMillis(maxAgeNanos));
		this.host.announceReadiness();
	}

	@Override
	public void workersListed(Collection<WorkerInfo> listed) {
		this.workers = List.copyOf(listed);
		this.workersKnown = true;
		this.drains.workersListed(listed);
		listWorkers(this.clock.getAsLong());
		this.host.announceReadiness();
		this.host.requestTick();
	}

	@Override
	public void workersRead(long ageNanos) {
		this.workersReadNanos = this.clock.getAsLong() - ageNanos;
		this.scheduler.workerListProven(this.workersReadNanos);
	}

	@Override
	public void hostsListed(List<HostId> hosts) {
		this.hostsKnown = true;
		this.host.peers().addHosts(hosts);
		this.election.setKnownPeers(this.host.peers().knownHosts());
	}

	@Override
	public void drainsChanged(DataCentreDrains state, long maxAgeNanos) {
		if (this.drains.adopt(state, Directory.Source.STORE, maxAgeNanos)) {
			this.host.requestTick();
		}
	}

	@Override
	public void drainRecordIgnored(String record, String reason) {
		this.drains.ignored(record, reason);
	}

}
