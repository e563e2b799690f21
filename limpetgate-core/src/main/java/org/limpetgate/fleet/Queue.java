package org.limpetgate.fleet;

import java.util.Objects;

import org.limpetgate.scheduling.QueueTerms;

/**
 * A route that accepts jobs.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param host the Host header that it matches, without port, not null
 * @param pathPrefix the prefix of the paths that it matches, not null
 * @param service the service whose workers run its tasks, not null
 * @param terms the service objectives of its jobs, not null
 * @param requiresAdvice whether the eligible workers of its steps are known only to an
 * advisor of the platform
 */
public record Queue(String name, String host, String pathPrefix, String service, QueueTerms terms,
		boolean requiresAdvice) {

	public Queue {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(terms, "terms");
	}

}
