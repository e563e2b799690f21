package org.limpetgate.submission;

import java.util.HashMap;
import java.util.Map;

import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * Which incarnations are dead, as far as membership has reported.
 * <p>
 * A wrong report changes answers only: a job that is not idempotent is never started
 * because its holder is dead. Not thread-safe.
 */
final class DeadIncarnations {

	private final Incarnation self;

	private final Map<HostId, Long> deadUpTo = new HashMap<>();

	DeadIncarnations(Incarnation self) {
		this.self = self;
	}

	// A live incarnation shows that the earlier ones of its host are dead, and withdraws
	// a wrong report of its own death. Late reports of an earlier incarnation are
	// ignored. Returns whether more incarnations are dead than before.
	boolean alive(Incarnation incarnation) {
		long earlier = incarnation.number() - 1;
		Long known = this.deadUpTo.get(incarnation.host());
		if (known != null && known > incarnation.number()) {
			return false;
		}
		this.deadUpTo.put(incarnation.host(), earlier);
		return known == null || known < earlier;
	}

	void dead(Incarnation incarnation) {
		this.deadUpTo.merge(incarnation.host(), incarnation.number(), Math::max);
	}

	boolean contains(Incarnation incarnation) {
		if (incarnation.host().equals(this.self.host())) {
			return !incarnation.equals(this.self);
		}
		Long dead = this.deadUpTo.get(incarnation.host());
		return dead != null && incarnation.number() <= dead;
	}

}
