package org.limpetgate.scheduling;

import java.util.concurrent.TimeUnit;

/**
 * Reads the list of workers for a host of {@link FleetSimulation}. Follows
 * {@code StoreDirectory} and {@code KeyedTopic} of the platform module: there is one read
 * at a time, and a failed one is repeated after a delay that nothing shortens. Not
 * thread-safe.
 */
final class SimulatedListReader {

	private static final long SCHEDULING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long IDLE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

	private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

	private final SimulatedHost host;

	private final SimulatedWorkerList list;

	private boolean scheduling;

	/** Counts the reads, including those that were scheduled and cancelled. */
	private long readNumber;

	private boolean pending;

	/** Whether the last read has failed. */
	private boolean failed;

	/** Whether a further read is due as soon as the pending one is answered. */
	private boolean readAgain;

	private long appliedVersion = -1;

	SimulatedListReader(SimulatedHost host, SimulatedWorkerList list) {
		this.host = host;
		this.list = list;
	}

	void start() {
		read();
	}

	void setScheduling(boolean value) {
		this.scheduling = value;
		if (value) {
			readNow();
		}
	}

	// Reads without the remaining pause, unless the last read has failed.
	void readNow() {
		if (this.pending) {
			this.readAgain = true;
		}
		else if (!this.failed) {
			read();
		}
	}

	private void read() {
		long number = ++this.readNumber;
		long sentNanos = this.host.clockNanos();
		this.pending = true;
		this.readAgain = false;
		this.list.read(this.host.name(), (contents) -> this.host.handle(() -> completed(number, sentNanos, contents)));
		this.host.schedule(TIMEOUT_NANOS, () -> completed(number, sentNanos, null));
	}

	private void completed(long number, long sentNanos, SimulatedWorkerList.Contents contents) {
		if (!this.pending || number != this.readNumber) {
			return;
		}
		this.pending = false;
		this.failed = contents == null;
		if (this.failed) {
			this.readAgain = false;
			readAfter(RETRY_DELAY_NANOS);
			return;
		}
		if (contents.version() != this.appliedVersion) {
			this.appliedVersion = contents.version();
			this.host.workersListed(contents.workers());
		}
		this.host.workersRead(sentNanos);
		if (this.readAgain) {
			read();
		}
		else {
			readAfter(this.scheduling ? SCHEDULING_INTERVAL_NANOS : IDLE_INTERVAL_NANOS);
		}
	}

	private void readAfter(long nanos) {
		long number = ++this.readNumber;
		this.host.schedule(nanos, () -> {
			if (!this.pending && number == this.readNumber) {
				read();
			}
		});
	}

}
