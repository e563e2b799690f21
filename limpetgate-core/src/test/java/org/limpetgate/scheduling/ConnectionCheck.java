package org.limpetgate.scheduling;

/**
 * What the client of the workers learns about a new connection before it sends an order
 * on it: a poll without lease, acknowledgement or wait, with the token of the order.
 *
 * @param report the report of the incarnation that has accepted the connection, null if
 * it rejects the token
 * @param incarnationMillis the incarnation that the order is meant for
 */
record ConnectionCheck(WorkerReport report, long incarnationMillis) {

	static ConnectionCheck of(FakeWorker worker, WorkerInfo target, FencingToken token, long nowNanos) {
		SchedulingEffect.PollWorker poll = new SchedulingEffect.PollWorker(target, 0, token, 0, 0, 0);
		return new ConnectionCheck(worker.poll(poll, nowNanos), target.incarnationMillis());
	}

	// Tests whether the order may be sent.
	boolean passed() {
		return this.report != null && this.report.incarnationMillis() == this.incarnationMillis;
	}

	StartAnswer startAnswer() {
		return (this.report != null) ? StartAnswer.OTHER_INCARNATION : StartAnswer.FENCED;
	}

}
