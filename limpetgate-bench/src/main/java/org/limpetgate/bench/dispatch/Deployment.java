package org.limpetgate.bench.dispatch;

/**
 * The sizes of the deployments in section 1 of the design document, per data centre.
 */
enum Deployment {

	RECREATIVAS(16, 32_000),

	KAURI(64, 128_000);

	static final int DATA_CENTRES = 3;

	static final int RUNNERS = 10;

	static final int WORKERS = 10;

	static final int SLOTS = 8;

	static final int CONNECTIONS = 60;

	static final int WORKERS_PER_RACK = 8;

	static final int CALLERS = 120;

	/** The relative sizes of the entry hosts of a data centre. */
	static final int[] HOST_SIZES = { 1, 2 };

	final int cores;

	final long memoryMb;

	Deployment(int cores, long memoryMb) {
		this.cores = cores;
		this.memoryMb = memoryMb;
	}

}
