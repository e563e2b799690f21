package org.limpetgate.host.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.Directory;
import org.limpetgate.host.EventLog;
import org.limpetgate.host.HostMetrics;
import org.limpetgate.host.LogEvent;
import org.limpetgate.scheduling.Scheduler;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * Adopts the newest drained data centres from the store and from peers, passes them to
 * the scheduler, and reports their changes.
 * <p>
 * The scheduler gets all of them, also while no worker and no host names one, so that a
 * worker that appears there later is drained from the start. The log and the metrics tell
 * only of those that are known. The version does not decrease. Not thread-safe; used on
 * the event loop.
 */
final class DrainService {

	private final Scheduler scheduler;

	private final LongSupplier clock;

	private final EventLog log;

	private volatile DataCentreDrains drains = DataCentreDrains.NONE;

	/** Where the present state comes from. */
	private Directory.Source source = Directory.Source.STORE;

	/** The data centres that a worker or a host has named since this host started. */
	private final Set<DataCentreId> known = new HashSet<>();

	/** The drained data centres that are known. */
	private volatile Set<DataCentreId> inForce = Set.of();

	/** The drained data centres that were reported as unknown. */
	private final Set<DataCentreId> reportedUnknown = new HashSet<>();

	private boolean workersKnown;

	DrainService(Scheduler scheduler, DataCentreId ownDataCentre, LongSupplier clock, EventLog log,
			HostMetrics metrics) {
		this.scheduler = scheduler;
		this.clock = clock;
		this.log = log;
		this.known.add(ownDataCentre);
		metrics.gauge("limpetgate.datacentres.drained", "Data centres in which no task starts",
				() -> this.inForce.size());
		metrics.gauge("limpetgate.drain.version", "Version of the drained data centres, 0 before they were read",
				() -> this.drains.version());
	}

	DataCentreDrains drains() {
		return this.drains;
	}

	/**
	 * Adopts a state unless it is older than the present one.
	 * @param state the state
	 * @param stateSource where it comes from
	 * @param maxAgeNanos how old it is at most, in nanoseconds, or
	 * {@link Directory#UNKNOWN_AGE}
	 * @return true if it is newer than the present one
	 */
	boolean adopt(DataCentreDrains state, Directory.Source stateSource, long maxAgeNanos) {
		DataCentreDrains newest = this.drains.newest(state);
		if (newest == this.drains) {
			return false;
		}
		this.drains = newest;
		this.source = stateSource;
		this.scheduler.setDrainedDataCentres(newest.dataCentres(), this.clock.getAsLong());
		this.reportedUnknown.retainAll(newest.dataCentres());
		report(maxAgeNanos);
		return true;
	}

	void ignored(String record, String reason) {
		this.log.write(LogEvent.DRAIN_RECORD_IGNORED, record, reason);
	}

	void workersListed(Collection<WorkerInfo> workers) {
		this.workersKnown = true;
		boolean changed = false;
		for (WorkerInfo worker : workers) {
			changed |= this.known.add(worker.dataCentre());
		}
		if (changed || !this.drains.dataCentres().isEmpty()) {
			report(Directory.UNKNOWN_AGE);
		}
	}

	void hostSeen(DataCentreId dataCentre) {
		if (this.known.add(dataCentre)) {
			report(Directory.UNKNOWN_AGE);
		}
	}

	// Reports the differences between the drains in force and those reported before.
	private void report(long maxAgeNanos) {
		Set<DataCentreId> drained = new HashSet<>(this.drains.dataCentres());
		drained.retainAll(this.known);
		drained.forEach((dataCentre) -> {
			if (!this.inForce.contains(dataCentre)) {
				write(LogEvent.DATA_CENTRE_DRAINED, dataCentre, maxAgeNanos);
			}
		});
		this.inForce.forEach((dataCentre) -> {
			if (!drained.contains(dataCentre)) {
				write(LogEvent.DATA_CENTRE_RETURNED, dataCentre, maxAgeNanos);
			}
		});
		this.inForce = Set.copyOf(drained);
		if (this.workersKnown) {
			this.drains.dataCentres().forEach((dataCentre) -> {
				if (!drained.contains(dataCentre) && this.reportedUnknown.add(dataCentre)) {
					ignored(dataCentre.value(), "no worker and no host is in this data centre");
				}
			});
		}
	}

	private void write(LogEvent event, DataCentreId dataCentre, long maxAgeNanos) {
		this.log.write(event, dataCentre, this.drains.version(), this.source.text(),
				DirectoryState.ageMillis(maxAgeNanos));
	}

}
