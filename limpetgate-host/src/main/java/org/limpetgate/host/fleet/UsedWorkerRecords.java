package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.Set;

import org.limpetgate.DataCentreId;
import org.limpetgate.UpstreamId;
import org.limpetgate.proto.UsedWorkerRecord;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * Converts the workers that are used for stored jobs to and from their records. The times
 * of a worker are left out, since they count from when its entry was read.
 */
final class UsedWorkerRecords {

	private UsedWorkerRecords() {
	}

	static UsedWorkerRecord toRecord(WorkerInfo worker) {
		return UsedWorkerRecord.newBuilder()
			.setIncarnationMillis(worker.incarnationMillis())
			.setService(worker.service())
			.setHost(worker.address().getHostString())
			.setPort(worker.address().getPort())
			.setDataCentre(worker.dataCentre().value())
			.setCpuMillis(worker.capacity().cpuMillis())
			.setMemoryMb(worker.capacity().memoryMb())
			.setAccelerators(worker.capacity().accelerators())
			.addAllLabels(worker.labels())
			.setDraining(worker.draining())
			.build();
	}

	static WorkerInfo toInfo(UpstreamId id, UsedWorkerRecord record) {
		return new WorkerInfo(id, record.getIncarnationMillis(), record.getService(),
				new InetSocketAddress(record.getHost(), record.getPort()), DataCentreId.of(record.getDataCentre()),
				new Capacity(record.getCpuMillis(), record.getMemoryMb(), record.getAccelerators()),
				Set.copyOf(record.getLabelsList()), record.getDraining());
	}

}
