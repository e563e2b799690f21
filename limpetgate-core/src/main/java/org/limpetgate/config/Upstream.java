package org.limpetgate.config;

import java.util.Objects;

import org.limpetgate.DataCentreId;
import org.limpetgate.Resources;
import org.limpetgate.UpstreamId;

/**
 * An upstream in a row of the pools table.
 * <p>
 * A runner has slots and no resources, a worker has resources and a rack and no slots.
 *
 * @param id the id
 * @param dataCentre the data centre in which it runs
 * @param address the IP address
 * @param port the TCP port
 * @param slots the number of concurrent requests that a runner handles, 0 for a worker
 * @param resources the resources of a worker, {@link Resources#NONE} for a runner
 * @param rack the rack of a worker, empty for a runner
 */
public record Upstream(UpstreamId id, DataCentreId dataCentre, String address, int port, int slots, Resources resources,
		String rack) {

	public Upstream {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(address, "host");
		Objects.requireNonNull(resources, "resources");
		Objects.requireNonNull(rack, "rack");
	}

}
