package org.limpetgate.host.fleet;

import java.util.Set;
import java.util.stream.Collectors;

import org.limpetgate.DataCentreId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.proto.HostBeat;

/**
 * Converts the drained data centres from and to heartbeats. Has no state and is
 * thread-safe.
 */
final class HeartbeatDrains {

	private HeartbeatDrains() {
	}

	static DataCentreDrains read(HostBeat heartbeat) {
		Set<DataCentreId> dataCentres = heartbeat.getDrainedDataCentresList()
			.stream()
			.map(DataCentreId::of)
			.collect(Collectors.toSet());
		return new DataCentreDrains(heartbeat.getDrainVersion(), dataCentres);
	}

	static void write(DataCentreDrains drains, HostBeat.Builder heartbeat) {
		heartbeat.setDrainVersion(drains.version());
		drains.dataCentres().forEach((dataCentre) -> heartbeat.addDrainedDataCentres(dataCentre.value()));
	}

}
