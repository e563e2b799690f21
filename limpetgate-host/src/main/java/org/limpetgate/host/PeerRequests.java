package org.limpetgate.host;

import java.util.concurrent.CompletableFuture;

import org.limpetgate.DataCentreId;
import org.limpetgate.Incarnation;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.PeerRequest;

/**
 * Sends requests about submissions to other entry hosts.
 * <p>
 * The outcome of the {@link org.limpetgate.DispatchException} of a failed future tells
 * whether the request may have been sent: {@link org.limpetgate.Outcome#NOT_RUN} proves
 * that it was not. Called on the control thread.
 */
public interface PeerRequests {

	/**
	 * Sends a request to an incarnation of a host.
	 * @param target the incarnation, not null
	 * @param request the request, not null
	 * @return the answer
	 */
	CompletableFuture<Answer> toHost(Incarnation target, PeerRequest request);

	/**
	 * Sends a request to a live host of a data centre. Another host is tried as long as
	 * no byte has been sent.
	 * @param target the data centre, not null
	 * @param request the request, not null
	 * @return the answer
	 */
	CompletableFuture<Answer> toDataCentre(DataCentreId target, PeerRequest request);

}
