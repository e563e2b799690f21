package org.limpetgate.bench.dispatch;

/**
 * The conditions of a run.
 */
enum Scenario {

	/** 70% load with stragglers and swings within each second. */
	STEADY(0.7, 0.7, SimulatedUpstream.Fault.NONE),

	/** 200% of the capacity throughout. */
	OVERLOAD(2, 2, SimulatedUpstream.Fault.NONE),

	/** 70% with a crest of 200%. */
	CREST(0.7, 2, SimulatedUpstream.Fault.NONE),

	/** A tenth of the upstreams answers every attempt at once with a failure. */
	FAILING(0.7, 0.7, SimulatedUpstream.Fault.FAILS),

	/** A tenth never answers. */
	HANGING(0.7, 0.7, SimulatedUpstream.Fault.HANGS),

	/** A tenth runs ten times slower. */
	SLOW(0.7, 0.7, SimulatedUpstream.Fault.SLOW),

	/** A tenth fails every other second. */
	FLAPPING(0.7, 0.7, SimulatedUpstream.Fault.FLAPS),

	/** A tenth refuses new attempts because it leaves. */
	LEAVING(0.7, 0.7, SimulatedUpstream.Fault.LEAVES),

	/** One entry host is away for three seconds; it finishes what it has started. */
	HOST_AWAY(0.7, 0.7, SimulatedUpstream.Fault.NONE),

	/** The entry hosts lose each other for three seconds. */
	HOSTS_APART(0.7, 0.7, SimulatedUpstream.Fault.NONE),

	/** One caller sends jobs of long tasks on top of a load of 50%. */
	LONG_JOBS(0.5, 0.5, SimulatedUpstream.Fault.NONE),

	/** One caller sends jobs that fail wherever they run. */
	BAD_JOBS(0.6, 0.6, SimulatedUpstream.Fault.NONE);

	static final long WARM_UP_NANOS = 5 * VirtualTime.SECOND;

	/** The crest begins, or the upstreams begin to fail. */
	static final long DISTURBANCE_START_NANOS = 10 * VirtualTime.SECOND;

	static final long DISTURBANCE_END_NANOS = 13 * VirtualTime.SECOND;

	final double load;

	final double peakLoad;

	final SimulatedUpstream.Fault fault;

	Scenario(double load, double peakLoad, SimulatedUpstream.Fault fault) {
		this.load = load;
		this.peakLoad = peakLoad;
		this.fault = fault;
	}

	double load(long time) {
		return (time >= DISTURBANCE_START_NANOS && time < DISTURBANCE_END_NANOS) ? this.peakLoad : this.load;
	}

}
