package org.limpetgate.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All queues of one version of the configuration.
 * <p>
 * Immutable and thread-safe.
 */
public final class QueueTable {

	private final long version;

	/** The queues by Host header, longest path prefix first. */
	private final Map<String, List<Queue>> byHost;

	private QueueTable(long version, Map<String, List<Queue>> byHost) {
		this.version = version;
		this.byHost = byHost;
	}

	/**
	 * Returns a table.
	 * @param version the version, which increases with each change
	 * @param queues the queues, not null
	 * @return the table, not null
	 */
	public static QueueTable of(long version, List<Queue> queues) {
		Map<String, List<Queue>> byHost = new HashMap<>();
		queues.stream()
			.sorted((first, second) -> second.pathPrefix().length() - first.pathPrefix().length())
			.forEach((queue) -> byHost.computeIfAbsent(queue.host(), (host) -> new ArrayList<>()).add(queue));
		return new QueueTable(version, byHost);
	}

	/**
	 * Finds the queue with the longest path prefix that matches.
	 * @param host the Host header without port, not null
	 * @param path the path, not null
	 * @return the queue, empty if none matches the path
	 */
	public Optional<Queue> find(String host, String path) {
		return this.byHost.getOrDefault(host, List.of())
			.stream()
			.filter((queue) -> path.startsWith(queue.pathPrefix()))
			.findFirst();
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the number of queues.
	 * @return the number
	 */
	public int size() {
		return this.byHost.values().stream().mapToInt(List::size).sum();
	}

}
