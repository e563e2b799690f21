package org.limpetgate.scheduling;

/** Is notified when a worker turns slow or recovers. */
@FunctionalInterface
interface SpeedListener {

	/** Ignores all changes. */
	SpeedListener NONE = (worker, before, after, nowNanos) -> {
	};

	/**
	 * Called after the factor of a worker has changed suddenly.
	 * @param worker the worker
	 * @param before the factor before
	 * @param after the factor now
	 * @param nowNanos the current time
	 */
	void speedChanged(WorkerEntity worker, double before, double after, long nowNanos);

}
