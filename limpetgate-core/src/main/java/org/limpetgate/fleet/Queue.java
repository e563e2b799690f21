package org.limpetgate.fleet;

import java.util.Objects;

import org.limpetgate.scheduling.QueueTerms;

/**
 * A route that takes jobs.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param host the Host header that it serves, not null
 * @param pathPrefix the start of the paths that it serves, not null
 * @param service the service whose workers run its tasks, not null
 * @param terms what the operators ask of its jobs, not null
 * @param advised whether only an advisor of the platform knows which workers may run its
 * steps
 */
public record Queue(String name, String host, String pathPrefix, String service, QueueTerms terms, boolean advised) {

	public Queue {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(terms, "terms");
	}

}
