package org.limpetgate.dispatch;

import org.limpetgate.CallerId;

/**
 * The work of a caller in a pool.
 */
final class CallerEntity {

	final CallerId id;

	final CallerQuota quota;

	int queued;

	int inFlight;

	CallerEntity(CallerId id, CallerQuota quota) {
		this.id = id;
		this.quota = quota;
	}

}
