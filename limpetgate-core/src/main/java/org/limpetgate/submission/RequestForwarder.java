package org.limpetgate.submission;

import org.limpetgate.DataCentreId;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.submission.ForwardedRequests.ForwardedRequest;

/**
 * Forwards requests to the host that holds their key, or to the home data centre of the
 * key.
 * <p>
 * A request is forwarded over a bounded number of hops, never to this incarnation, and a
 * query or cancellation never to a dead one. It stays open in the table of forwarded
 * requests until its reply or its deadline. Not thread-safe.
 */
final class RequestForwarder {

	/**
	 * The host that the caller reached forwards to the home data centre, which forwards
	 * to the holder; one more hop allows for an outdated view of the holder.
	 */
	private static final int MAX_HOPS = 3;

	private final Incarnation self;

	private final DataCentres dataCentres;

	private final SubmissionSettings settings;

	private final TicketAuthority tickets;

	private final ClaimTable claims;

	private final DeadIncarnations deadIncarnations;

	private final ForwardedRequests forwardedRequests;

	private final Replies replies;

	RequestForwarder(Incarnation self, DataCentres dataCentres, SubmissionSettings settings, TicketAuthority tickets,
			ClaimTable claims, DeadIncarnations deadIncarnations, ForwardedRequests forwardedRequests,
			Replies replies) {
		this.self = self;
		this.dataCentres = dataCentres;
		this.settings = settings;
		this.tickets = tickets;
		this.claims = claims;
		this.deadIncarnations = deadIncarnations;
		this.forwardedRequests = forwardedRequests;
		this.replies = replies;
	}

	// Forwards a submission to the holder of its key, unless it was forwarded too often.
	void submitToHolder(Waiter waiter, Incarnation holder, long nowNanos) {
		if (waiter.hops() >= MAX_HOPS) {
			this.replies.refuseWithRetryAfter(waiter, ErrorKind.HOLDER_UNREACHABLE,
					"the request was forwarded too often, because the hosts have different views of the holder");
			return;
		}
		sendToHost(waiter, holder, new PeerRequest.Submit(waiter.submission(), waiter.hops() + 1), nowNanos);
	}

	void submitToHome(Waiter waiter, DataCentreId home, long nowNanos) {
		sendToDataCentre(waiter, home, new PeerRequest.Submit(waiter.submission(), waiter.hops() + 1), nowNanos);
	}

	// Forwards a query or cancellation of a job that is not known here to its holder or
	// home.
	void lookUp(Waiter waiter, PeerRequest message, long nowNanos) {
		if (Ticket.isTicket(message.key())) {
			Ticket ticket = this.tickets.verify(message.caller(), message.key());
			lookUpAtHolder(waiter, (ticket != null) ? ticket.issuer() : null, message, nowNanos);
			return;
		}
		KeyHash key = KeyHash.of(message.caller(), message.key());
		DataCentreId home = this.dataCentres.homeOf(key);
		if (home.equals(this.dataCentres.local())) {
			Claim claim = this.claims.find(key);
			lookUpAtHolder(waiter, (claim != null) ? claim.holder() : null, message, nowNanos);
		}
		else if (waiter.hops() > 0) {
			refuseUnknown(waiter);
		}
		else {
			sendToDataCentre(waiter, home, message, nowNanos);
		}
	}

	private void lookUpAtHolder(Waiter waiter, Incarnation holder, PeerRequest message, long nowNanos) {
		if (holder == null || holder.equals(this.self) || waiter.hops() >= MAX_HOPS) {
			refuseUnknown(waiter);
		}
		else if (this.deadIncarnations.contains(holder)) {
			this.replies.refuse(waiter, ErrorKind.HOLDER_LOST, "the holder " + holder + " has terminated");
		}
		else {
			sendToHost(waiter, holder, message, nowNanos);
		}
	}

	private void refuseUnknown(Waiter waiter) {
		this.replies.refuse(waiter, ErrorKind.UNKNOWN_SUBMISSION, "this host does not know the submission");
	}

	private void sendToHost(Waiter waiter, Incarnation target, PeerRequest message, long nowNanos) {
		this.forwardedRequests.add(new ForwardedRequest(waiter, target, null, deadlineNanos(waiter, nowNanos)));
		this.replies.emit(new SubmissionEffect.ForwardToHost(waiter.request(), target, message));
	}

	private void sendToDataCentre(Waiter waiter, DataCentreId home, PeerRequest message, long nowNanos) {
		this.forwardedRequests.add(new ForwardedRequest(waiter, null, home, deadlineNanos(waiter, nowNanos)));
		this.replies.emit(new SubmissionEffect.ForwardToDataCentre(waiter.request(), home, message));
	}

	private long deadlineNanos(Waiter waiter, long nowNanos) {
		long deadlineNanos = nowNanos + this.settings.claimWaitNanos();
		if (waiter.submission() == null) {
			return deadlineNanos;
		}
		return Math.max(deadlineNanos, waiter.submission().expiryNanos() + this.settings.skewNanos());
	}

}
