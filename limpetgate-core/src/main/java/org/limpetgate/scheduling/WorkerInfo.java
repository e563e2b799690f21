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
 */
public record WorkerInfo(UpstreamId id, long incarnationMillis, String service, InetSocketAddress address,
		DataCentreId dataCentre, Capacity capacity, Set<String> labels, boolean draining) {

	public WorkerInfo {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		labels = Set.copyOf(labels);
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
