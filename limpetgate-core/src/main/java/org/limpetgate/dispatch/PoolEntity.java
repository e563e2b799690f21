package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.CallerId;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Pool;
import org.limpetgate.config.Upstream;

/**
 * A pool with its upstreams in the own data centre and its waiting tasks.
 */
final class PoolEntity {

	final Map<UpstreamId, UpstreamEntity> byId = new HashMap<>();

	final Map<CallerId, CallerEntity> callers = new HashMap<>();

	/** The listed upstreams, in the order of the table. */
	final List<UpstreamEntity> upstreams = new ArrayList<>();

	final TaskQueue queue = new TaskQueue();

	Pool row;

	/** Whether the configuration has the pool. */
	boolean configured;

	int queuedTasks;

	long queuedBytes;

	int inFlight;

	final RetryBudget budget = new RetryBudget();

	PoolEntity(Pool row) {
		this.row = row;
	}

	/**
	 * Replaces the row. An upstream whose row changed counts as a new one and loses its
	 * leaving mark.
	 * @param newRow the new row
	 * @param settings the settings, which name the own data centre
	 */
	void configure(Pool newRow, DispatchSettings settings) {
		this.row = newRow;
		this.upstreams.clear();
		this.byId.values().forEach((upstream) -> upstream.listed = false);
		for (Upstream upstream : newRow.upstreams()) {
			if (upstream.dataCentre().equals(settings.dataCentre())) {
				list(upstream);
			}
		}
		this.byId.values().removeIf((upstream) -> !upstream.listed && upstream.inFlight == 0);
	}

	private void list(Upstream newRow) {
		UpstreamEntity entity = this.byId.computeIfAbsent(newRow.id(), (id) -> new UpstreamEntity(newRow));
		if (!entity.row.equals(newRow)) {
			entity.row = newRow;
			entity.leaving = false;
		}
		entity.listed = true;
		this.upstreams.add(entity);
	}

}
