package org.limpetgate.host.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.fleet.DataCentreDrains;
import org.limpetgate.fleet.HostState;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.net.peer.InboundLink;
import org.limpetgate.proto.HostBeat;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.QueueStatus;
import org.limpetgate.proto.SubmitJob;

/**
 * Handles the messages of peers and the changes of their links. Called on the event loop
 * only.
 */
interface PeerEvents {

	// Returns a heartbeat, with the configuration if the version of the peer is lower
	// than that of this host. FleetPeers.OMIT_CONFIGURATION omits it.
	HostBeat heartbeat(long peerVersion);

	// Called when a peer has answered a heartbeat of this host.
	void heartbeatAnswered(HostState state, long sentNanos, long nowNanos);

	// Called when a peer has sent a heartbeat of its own.
	void heartbeatReceived(HostState state, long nowNanos);

	// Called with the drained data centres that a peer knows, before its state.
	void drainsReceived(DataCentreDrains drains);

	// Called with all known hosts when some were added.
	void peersAdded(Set<HostId> known);

	// Called when the link to the present incarnation of a host is lost.
	void linkLost(HostId peer);

	// Called before the first message of an incarnation that has replaced another
	// one.
	void incarnationEnded(HostId peer);

	// Called when this host must not act any longer on jobs of another host.
	void leaseExpired(SubmissionLeases.Link link, List<JobId> jobs);

	void configurationOffered(byte[] text);

	// Called for each message that is refused because its sender may have given it
	// up.
	void staleMessage(InboundLink link, String message, long maxAgeNanos);

	// Called for each submission that arrives, before it is decided on.
	void submissionReceived(InboundLink link, SubmitJob job, long maxAgeNanos);

	boolean jobSubmitted(HostId peer, SubmitJob job);

	void jobWithdrawn(HostId peer, JobId job);

	// Called when a withdrawal of this host was lost together with the link to the
	// scheduler.
	void withdrawalNotSent(HostId scheduler, JobId job, String reason);

	CompletableFuture<JobStatus> jobQueried(JobId job, boolean cancel);

	QueueStatus queueQueried(String queue);

}
