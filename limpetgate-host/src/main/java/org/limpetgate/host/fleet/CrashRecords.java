package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import org.limpetgate.UpstreamId;
import org.limpetgate.proto.CrashHistoryRecord;
import org.limpetgate.proto.WorkerLossRecord;
import org.limpetgate.scheduling.CrashHistory;
import org.limpetgate.scheduling.CrashHistory.Evidence;

/**
 * Encodes and decodes the crashes of workers under a task of a stored job. Has no state
 * and is thread-safe.
 */
final class CrashRecords {

	private CrashRecords() {
	}

	static CrashHistoryRecord toRecord(CrashHistory history) {
		CrashHistoryRecord.Builder record = CrashHistoryRecord.newBuilder()
			.setCrashes(history.crashes())
			.setCrashedAlone(history.crashedAlone())
			.setUnconfirmedCrashes(history.unconfirmedCrashes());
		for (CrashHistory.Loss loss : history.losses()) {
			record.addLosses(WorkerLossRecord.newBuilder()
				.setWorker(loss.worker().value())
				.setHost(loss.address().getHostString())
				.setPort(loss.address().getPort())
				.setIncarnationMillis(loss.incarnationMillis())
				.setAlone(loss.evidence() == Evidence.ALONE)
				.setUnconfirmed(loss.evidence() == Evidence.UNCONFIRMED)
				.setLostMillis(TimeUnit.NANOSECONDS.toMillis(loss.lostNanos())));
		}
		return record.build();
	}

	static CrashHistory toHistory(CrashHistoryRecord record) {
		return new CrashHistory(record.getCrashes(), record.getCrashedAlone(), record.getUnconfirmedCrashes(),
				record.getLossesList().stream().map(CrashRecords::toLoss).toList());
	}

	private static Evidence evidence(WorkerLossRecord record) {
		if (record.getUnconfirmed()) {
			return Evidence.UNCONFIRMED;
		}
		return record.getAlone() ? Evidence.ALONE : Evidence.SHARED;
	}

	private static CrashHistory.Loss toLoss(WorkerLossRecord record) {
		InetSocketAddress address = InetSocketAddress.createUnresolved(record.getHost(), record.getPort());
		return new CrashHistory.Loss(UpstreamId.of(record.getWorker()), address, record.getIncarnationMillis(),
				evidence(record), TimeUnit.MILLISECONDS.toNanos(record.getLostMillis()));
	}

}
