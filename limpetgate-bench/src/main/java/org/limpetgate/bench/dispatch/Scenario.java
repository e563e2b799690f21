package org.limpetgate.bench.dispatch;

/**
 * The load and the faults of a run.
 */
enum Scenario {

	/** 70% load with stragglers and a demand that oscillates within each second. */
	STEADY(0.7, 0.7, SimulatedUpstream.Fault.NONE),

	/** 200% load throughout. */
	OVERLOAD(2, 2, SimulatedUpstream.Fault.NONE),

	/** 70% load with a peak of 200%. */
	CREST(0.7, 2, SimulatedUpstream.Fault.NONE),

	/** A tenth of the upstreams fails every attempt immediately. */
	FAILING(0.7, 0.7, SimulatedUpstream.Fault.FAILS),

	/** A tenth of the upstreams never responds. */
	HANGING(0.7, 0.7, SimulatedUpstream.Fault.HANGS),

	/** A tenth of the upstreams runs ten times slower. */
	SLOW(0.7, 0.7, SimulatedUpstream.Fault.SLOW),

	/** A tenth of the upstreams fails every attempt in every other second. */
	FLAPPING(0.7, 0.7, SimulatedUpstream.Fault.FLAPS),

	/** A tenth of the upstreams is leaving and refuses new attempts. */
	LEAVING(0.7, 0.7, SimulatedUpstream.Fault.LEAVES),

	/**
	 * One entry host is disconnected for three seconds; it finishes the tasks that it has
	 * accepted.
	 */
	HOST_AWAY(0.7, 0.7, SimulatedUpstream.Fault.NONE),

	/** The entry hosts are partitioned from each other for three seconds. */
	HOSTS_APART(0.7, 0.7, SimulatedUpstream.Fault.NONE),

	/** One caller submits jobs of long tasks in addition to a load of 50%. */
	LONG_JOBS(0.5, 0.5, SimulatedUpstream.Fault.NONE),

	/**
	 * One caller submits jobs whose tasks fail at every upstream, in addition to a load
	 * of 60%.
	 */
	BAD_JOBS(0.6, 0.6, SimulatedUpstream.Fault.NONE);

	static final long WARM_UP_NANOS = 5 * VirtualTime.SECOND;

	/** Start of the load peak, the disconnection or the faults of the upstreams. */
	static final long DISTURBANCE_START_NANOS = 10 * VirtualTime.SECOND;

	/**
	 * End of the load peak or the disconnection; faults of upstreams last until the end.
	 */
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
