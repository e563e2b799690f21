package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;

import org.limpetgate.DataCentreId;
import org.limpetgate.UpstreamId;

/**
 * The entry of a worker in the list of upstreams.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the worker, not null
 * @param incarnationMillis the start of its current incarnation, in milliseconds since
 * the Unix epoch; a new incarnation has no tokens, runs or ends of the previous one
 * @param service the service whose tasks it runs, not null
 * @param address the address at which it accepts orders, not null
 * @param dataCentre its data centre, not null
 * @param capacity its total capacity, not null
 * @param labels its kind and its rack, not null
 * @param draining whether it is shutting down and must not be sent new runs
 * @param coldRemainingMillis for how long it stays slow after a start or a drain, in
 * milliseconds from when its entry was read; 0 if it is warm
 * @param drainRemainingMillis how much longer it serves its runs at least while it is
 * draining, in milliseconds from when its entry was read; {@link #UNKNOWN} if its entry
 * does not tell
 */
public record WorkerInfo(UpstreamId id, long incarnationMillis, String service, InetSocketAddress address,
		DataCentreId dataCentre, Capacity capacity, Set<String> labels, boolean draining, long coldRemainingMillis,
		long drainRemainingMillis) {

	/** A time that the entry of the worker does not tell. */
	public static final long UNKNOWN = -1;

	public WorkerInfo {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		labels = Set.copyOf(labels);
	}

	/**
	 * Creates the entry of a warm worker that tells no time at which it leaves.
	 * @param id the id of the worker, not null
	 * @param incarnationMillis the start of its incarnation, milliseconds since the Unix
	 * epoch
	 * @param service the service whose tasks it runs, not null
	 * @param address the address at which it accepts orders, not null
	 * @param dataCentre its data centre, not null
	 * @param capacity its total capacity, not null
	 * @param labels its kind and its rack, not null
	 * @param draining whether it is shutting down and must not be sent new runs
	 */
	public WorkerInfo(UpstreamId id, long incarnationMillis, String service, InetSocketAddress address,
			DataCentreId dataCentre, Capacity capacity, Set<String> labels, boolean draining) {
		this(id, incarnationMillis, service, address, dataCentre, capacity, labels, draining, 0, UNKNOWN);
	}

	/**
	 * Returns a copy with other times.
	 * @param coldMillis for how long it stays slow, in milliseconds; 0 if it is warm
	 * @param drainMillis how much longer it serves its runs, in milliseconds, or
	 * {@link #UNKNOWN}
	 * @return the copy, not null
	 */
	WorkerInfo withTimes(long coldMillis, long drainMillis) {
		return new WorkerInfo(this.id, this.incarnationMillis, this.service, this.address, this.dataCentre,
				this.capacity, this.labels, this.draining, coldMillis, drainMillis);
	}

	/**
	 * Returns a copy with another incarnation.
	 * @param millis the start of the incarnation, in milliseconds since the Unix epoch
	 * @return the copy, not null
	 */
	WorkerInfo withIncarnation(long millis) {
		return new WorkerInfo(this.id, millis, this.service, this.address, this.dataCentre, this.capacity, this.labels,
				this.draining, this.coldRemainingMillis, this.drainRemainingMillis);
	}

	/**
	 * Tests whether another entry may be one of the same process, whose address, service
	 * and data centre do not change.
	 * @param other the other entry, not null
	 * @return true if it may be
	 */
	boolean isSameProcess(WorkerInfo other) {
		return isSameLocation(other) && this.incarnationMillis == other.incarnationMillis
				&& this.service.equals(other.service) && Objects.equals(this.dataCentre, other.dataCentre);
	}

	/**
	 * Tests whether another entry names the same worker at the same address.
	 * @param other the other entry, not null
	 * @return true if it does
	 */
	boolean isSameLocation(WorkerInfo other) {
		return this.id.equals(other.id) && this.address.equals(other.address);
	}

	/**
	 * Returns the address without the result of a name lookup, for comparisons with
	 * addresses that were saved.
	 * @return the address, not null
	 */
	InetSocketAddress unresolvedAddress() {
		return InetSocketAddress.createUnresolved(this.address.getHostString(), this.address.getPort());
	}

}
