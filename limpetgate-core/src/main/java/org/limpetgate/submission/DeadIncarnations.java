package org.limpetgate.submission;

import java.util.HashMap;
import java.util.Map;

import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

/**
 * The incarnations that membership has reported as dead.
 * <p>
 * A false report only affects replies; it never causes a second start of a job that is
 * not idempotent. Not thread-safe.
 */
final class DeadIncarnations {

	private final Incarnation self;

	private final Map<HostId, Long> highestDeadNumbers = new HashMap<>();

	DeadIncarnations(Incarnation self) {
		this.self = self;
	}

	// A live incarnation proves that the earlier ones of its host are dead, and revokes
	// a false report that it is dead itself. Late reports about an earlier incarnation
	// are ignored. Returns true if this marks more incarnations as dead.
	boolean reportAlive(Incarnation incarnation) {
		long previousNumber = incarnation.number() - 1;
		Long highestDead = this.highestDeadNumbers.get(incarnation.host());
		if (highestDead != null && highestDead > incarnation.number()) {
			return false;
		}
		this.highestDeadNumbers.put(incarnation.host(), previousNumber);
		return highestDead == null || highestDead < previousNumber;
	}

	void reportDead(Incarnation incarnation) {
		this.highestDeadNumbers.merge(incarnation.host(), incarnation.number(), Math::max);
	}

	boolean contains(Incarnation incarnation) {
		if (incarnation.host().equals(this.self.host())) {
			return !incarnation.equals(this.self);
		}
		Long highestDead = this.highestDeadNumbers.get(incarnation.host());
		return highestDead != null && incarnation.number() <= highestDead;
	}

}
