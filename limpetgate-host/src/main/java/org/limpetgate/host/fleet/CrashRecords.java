package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import org.limpetgate.UpstreamId;
import org.limpetgate.proto.CrashHistoryRecord;
import org.limpetgate.proto.WorkerLossRecord;
import org.limpetgate.scheduling.CrashHistory;

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
			.setCrashedAlone(history.crashedAlone());
		for (CrashHistory.Loss loss : history.losses()) {
			record.addLosses(WorkerLossRecord.newBuilder()
				.setWorker(loss.worker().value())
				.setHost(loss.address().getHostString())
				.setPort(loss.address().getPort())
				.setIncarnationMillis(loss.incarnationMillis())
				.setAlone(loss.alone())
				.setLostMillis(TimeUnit.NANOSECONDS.toMillis(loss.lostNanos())));
		}
		return record.build();
	}

	static CrashHistory toHistory(CrashHistoryRecord record) {
		return new CrashHistory(record.getCrashes(), record.getCrashedAlone(),
				record.getLossesList().stream().map(CrashRecords::toLoss).toList());
	}

	private static CrashHistory.Loss toLoss(WorkerLossRecord record) {
		InetSocketAddress address = InetSocketAddress.createUnresolved(record.getHost(), record.getPort());
		return new CrashHistory.Loss(UpstreamId.of(record.getWorker()), address, record.getIncarnationMillis(),
				record.getAlone(), TimeUnit.MILLISECONDS.toNanos(record.getLostMillis()));
	}

}
