package org.limpetgate.host;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.dispatch.Admission;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.dispatch.TaskRequest;
import org.limpetgate.host.configuration.PeerConfigurations;
import org.limpetgate.membership.DataCentreDigest;
import org.limpetgate.membership.Heartbeat;
import org.limpetgate.membership.Member;
import org.limpetgate.membership.MemberAddress;
import org.limpetgate.membership.MemberState;
import org.limpetgate.membership.Membership;
import org.limpetgate.membership.MembershipEffect;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.net.peer.InboundLink;
import org.limpetgate.net.peer.PeerAddress;
import org.limpetgate.net.peer.PeerHandler;
import org.limpetgate.net.peer.PeerIdentity;
import org.limpetgate.net.peer.PeerLinks;
import org.limpetgate.proto.ConfigurationOffer;
import org.limpetgate.proto.ConfigurationRequest;
import org.limpetgate.proto.ForwardTask;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.PeerRequest;
import org.limpetgate.wire.ConfigurationCodec;
import org.limpetgate.wire.MembershipCodec;

/**
 * Connects membership, configuration and submissions of this host with those of its
 * peers.
 * <p>
 * {@link #handle} is thread-safe; everything else is confined to the control thread.
 */
public final class PeerService implements TickedComponent, PeerHandler, PeerRequests, PeerConfigurations {

	/**
	 * Number of open links to each other data centre; the second one avoids a
	 * reconnection.
	 */
	private static final int LINKS_PER_DATA_CENTRE = 2;

	/**
	 * Maximum number of links to hosts of other data centres that are opened on demand.
	 */
	private static final int MAX_ON_DEMAND_LINKS = 64;

	private static final int MAX_LINK_ATTEMPTS = 10;

	private static final long LINK_RETRY_DELAY_MILLIS = 100;

	private static final long QUERY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long FETCH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final PeerIdentity self;

	private final MemberAddress address;

	private final List<DataCentreId> dataCentres;

	private final int size;

	private final Membership membership;

	private final PeerLinks links;

	private final Executor control;

	private final LongSupplier clock;

	private final EventLog events;

	private final Map<HostId, MemberAddress> onDemandLinks = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<HostId, MemberAddress> eldest) {
			return size() > MAX_ON_DEMAND_LINKS;
		}

	};

	private LocalHost local;

	private Heartbeat lastHeartbeat;

	private boolean leaving;

	/**
	 * Creates a service without peers.
	 * @param self this host, not null
	 * @param address the address at which this host accepts peers, not null
	 * @param dataCentres all configured data centres, not null
	 * @param size the relative size of this host, at least 1
	 * @param membership the table of peers, not null
	 * @param links the links to them, not null
	 * @param control runs messages on the control thread, not null
	 * @param clock returns the current time in nanoseconds since the Unix epoch, not null
	 * @param events receives an event for each change, not null
	 */
	public PeerService(PeerIdentity self, MemberAddress address, List<DataCentreId> dataCentres, int size,
			Membership membership, PeerLinks links, Executor control, LongSupplier clock, EventLog events) {
		this.self = self;
		this.address = address;
		this.dataCentres = List.copyOf(dataCentres);
		this.size = size;
		this.membership = membership;
		this.links = links;
		this.control = control;
		this.clock = clock;
		this.events = events;
	}

	/**
	 * Sets the other components of this host. Must be called once before the first tick.
	 * @param localHost the components, not null
	 */
	public void setLocalHost(LocalHost localHost) {
		this.local = localHost;
	}

	/**
	 * Sets the hosts that the settings and the host list contain.
	 * @param addresses the addresses, not null
	 */
	public void setListedHosts(Collection<MemberAddress> addresses) {
		this.membership.setListedHosts(addresses);
	}

	/**
	 * Announces to all peers that this host is leaving.
	 */
	public void leave() {
		this.leaving = true;
		this.membership.requestHeartbeat();
	}

	/**
	 * Requests a heartbeat with the next tick, for changes that should not wait for the
	 * interval.
	 */
	public void announce() {
		this.membership.requestHeartbeat();
	}

	@Override
	public void tick(long nowNanos) {
		this.membership.tick(nowNanos, (effect) -> apply(effect, nowNanos));
	}

	@Override
	public long nextWakeNanos() {
		return this.membership.nextWakeNanos();
	}

	private void apply(MembershipEffect effect, long nowNanos) {
		if (effect instanceof MembershipEffect.SendHeartbeat send) {
			this.links.send(send.to(), PeerFrame.newBuilder().setHeartbeat(MembershipCodec.toMessage(heartbeat(send))));
		}
		else if (effect instanceof MembershipEffect.SendDigests send) {
			List<DataCentreDigest> digests = new ArrayList<>(send.relayed());
			if (send.includeOwn()) {
				digests.add(ownDigest(nowNanos));
			}
			this.links.send(send.to(), PeerFrame.newBuilder().setDigests(MembershipCodec.toMessage(digests)));
		}
		else if (effect instanceof MembershipEffect.MemberChanged changed) {
			memberChanged(changed, nowNanos);
		}
	}

	// The dispatcher divides the upstreams according to the demand that the peers were
	// sent, so all of them get the same heartbeat.
	private Heartbeat heartbeat(MembershipEffect.SendHeartbeat send) {
		if (this.lastHeartbeat == null || this.lastHeartbeat.sequence() != send.sequence()) {
			this.lastHeartbeat = new Heartbeat(this.self.incarnation(), this.address, send.sequence(),
					this.local.configuration().configuration().version(), this.size, this.leaving,
					withoutIdlePools(this.local.demand()), send.receivedHeartbeats(), this.local.leavingUpstreams());
		}
		return this.lastHeartbeat;
	}

	// A pool without an entry has no demand; entries of idle pools would make up most of
	// a heartbeat.
	private static Map<PoolName, PeerLoad.Demand> withoutIdlePools(Map<PoolName, PeerLoad.Demand> demand) {
		Map<PoolName, PeerLoad.Demand> busy = new HashMap<>(demand);
		busy.values().removeIf((load) -> load.queued() == 0 && load.inFlight() == 0);
		return busy;
	}

	private DataCentreDigest ownDigest(long nowNanos) {
		Map<Incarnation, MemberAddress> live = new HashMap<>();
		long lowest = this.local.configuration().configuration().version();
		if (!this.leaving) {
			live.put(this.self.incarnation(), this.address);
		}
		for (Member member : membersInDataCentre()) {
			if (member.state().isServing() && member.heartbeat() != null) {
				live.put(member.incarnation(), member.address());
				lowest = Math.min(lowest, member.heartbeat().configurationVersion());
			}
		}
		return new DataCentreDigest(this.self.dataCentre(), nowNanos, lowest, this.local.poolStates(nowNanos), live);
	}

	private List<Member> membersInDataCentre() {
		return this.membership.members()
			.stream()
			.filter((member) -> member.address().dataCentre().equals(this.self.dataCentre()))
			.toList();
	}

	private void memberChanged(MembershipEffect.MemberChanged changed, long nowNanos) {
		Member before = changed.before();
		Member after = changed.after();
		if (after != null) {
			this.events.write(LogEvent.MEMBER_CHANGED, after.address().host(), after.state(), after.incarnation());
		}
		if (after != null && after.incarnation() != null) {
			if (before != null && before.incarnation() != null
					&& after.incarnation().isLaterThan(before.incarnation())) {
				this.local.submissions().incarnationEnded(before.incarnation(), nowNanos);
			}
			this.local.submissions().incarnationAlive(after.incarnation(), nowNanos);
		}
		configureLinks();
		this.local.updatePeerLoads(loads(), nowNanos);
	}

	private void configureLinks() {
		Map<HostId, PeerAddress> peers = new HashMap<>();
		this.onDemandLinks.values().forEach((member) -> add(peers, member));
		membersInDataCentre().forEach((member) -> add(peers, member.address()));
		for (DataCentreId other : this.dataCentres) {
			if (!other.equals(this.self.dataCentre())) {
				this.membership.contacts(other)
					.stream()
					.limit(LINKS_PER_DATA_CENTRE)
					.forEach((contact) -> add(peers, contact));
			}
		}
		this.links.configure(List.copyOf(peers.values()));
	}

	private static void add(Map<HostId, PeerAddress> peers, MemberAddress member) {
		peers.put(member.host(),
				new PeerAddress(member.host(), new InetSocketAddress(member.address(), member.port())));
	}

	// A suspect host keeps the capacity for its tasks in flight, but its queued tasks do
	// not count as demand.
	private List<PeerLoad> loads() {
		List<PeerLoad> loads = new ArrayList<>();
		for (Member member : membersInDataCentre()) {
			if (member.state().mayHaveWorkInFlight() && member.heartbeat() != null) {
				boolean joined = member.state() == MemberState.JOINED;
				Map<PoolName, PeerLoad.Demand> demand = new HashMap<>();
				member.heartbeat()
					.demand()
					.forEach((pool, load) -> demand.put(pool,
							new PeerLoad.Demand(joined ? load.queued() : 0, load.inFlight())));
				loads.add(new PeerLoad(member.address().host(), member.heartbeat().size(), demand));
			}
		}
		return loads;
	}

	@Override
	public Optional<CompletableFuture<PeerFrame.Builder>> handle(InboundLink link, PeerFrame frame) {
		PeerIdentity peer = link.peer();
		switch (frame.getMessageCase()) {
			case HEARTBEAT:
				Heartbeat heartbeat = MembershipCodec.toHeartbeat(frame.getHeartbeat());
				this.control.execute(() -> heartbeatReceived(peer, heartbeat));
				return Optional.empty();
			case DIGESTS:
				List<DataCentreDigest> digests = MembershipCodec.toDigests(frame.getDigests());
				this.control.execute(() -> digestsReceived(peer, digests));
				return Optional.empty();
			case FORWARD_SUBMISSION:
			case QUERY_SUBMISSION:
			case CANCEL_SUBMISSION:
				return Optional.of(this.local.submissions()
					.handlePeer(PeerMessages.toRequest(frame))
					.thenApply(PeerMessages::toFrame));
			case FORWARD_TASK:
				return Optional.of(runForwardedTask(frame.getForwardTask()));
			case CONFIGURATION_REQUEST:
				long version = frame.getConfigurationRequest().getNewerThan();
				return Optional
					.of(this.local.configuration().snapshotNewerThan(version).thenApply(PeerMessages::toFrame));
			default:
				return Optional.of(CompletableFuture.failedFuture(DispatchException.of(ErrorKind.PEER_REFUSED,
						Outcome.NOT_RUN, "message " + frame.getMessageCase() + " is not supported here")));
		}
	}

	// The handshake proved the identity of the peer; a heartbeat of any other incarnation
	// is dropped.
	private void heartbeatReceived(PeerIdentity peer, Heartbeat heartbeat) {
		long now = this.clock.getAsLong();
		if (heartbeat.incarnation().equals(peer.incarnation()) && this.membership.heartbeatReceived(heartbeat, now)) {
			this.local.updatePeerLoads(loads(), now);
			heartbeat.leavingUpstreams().forEach((upstream) -> this.local.upstreamLeaving(upstream, now));
		}
	}

	private void digestsReceived(PeerIdentity peer, List<DataCentreDigest> digests) {
		long now = this.clock.getAsLong();
		this.membership.digestsReceived(digests, peer.dataCentre(), now);
		// A later incarnation proves that tickets and claims of an earlier one have lost
		// their holder.
		digests.forEach((digest) -> digest.members()
			.keySet()
			.forEach((incarnation) -> this.local.submissions().incarnationAlive(incarnation, now)));
		configureLinks();
	}

	@Override
	public CompletableFuture<Answer> toHost(Incarnation target, PeerRequest request) {
		ensureLink(target.host());
		return requestWithRetries(target, request, MAX_LINK_ATTEMPTS);
	}

	// The link to a host of another data centre is opened by the first request for one of
	// its tickets.
	private void ensureLink(HostId host) {
		if (!this.onDemandLinks.containsKey(host) && this.membership.address(host).isPresent()) {
			this.onDemandLinks.put(host, this.membership.address(host).get());
			configureLinks();
		}
	}

	private CompletableFuture<Answer> requestWithRetries(Incarnation target, PeerRequest request, int attemptsLeft) {
		return sendRequest(target, request).exceptionallyCompose((failure) -> {
			if (attemptsLeft <= 1 || !isNotSent(failure) || this.links.isUp(target.host())) {
				return CompletableFuture.failedFuture(failure);
			}
			Executor later = CompletableFuture.delayedExecutor(LINK_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS,
					this.control);
			return CompletableFuture.supplyAsync(() -> requestWithRetries(target, request, attemptsLeft - 1), later)
				.thenCompose((answer) -> answer);
		});
	}

	private static boolean isNotSent(Throwable failure) {
		return ErrorReply.toDispatchException(failure).outcome() == Outcome.NOT_RUN;
	}

	private CompletableFuture<Answer> sendRequest(Incarnation target, PeerRequest request) {
		return this.links.request(target, PeerMessages.toFrame(request), timeoutNanos(request))
			.thenApply(PeerMessages::toAnswer);
	}

	private CompletableFuture<Answer> sendRequest(HostId host, PeerRequest request) {
		return this.links.request(host, PeerMessages.toFrame(request), timeoutNanos(request))
			.thenApply(PeerMessages::toAnswer);
	}

	// A submission is answered at its expiry at the latest.
	private long timeoutNanos(PeerRequest request) {
		if (request instanceof PeerRequest.Submit submit) {
			return Math.max(1, submit.submission().expiryNanos() - this.clock.getAsLong()) + QUERY_TIMEOUT_NANOS;
		}
		return QUERY_TIMEOUT_NANOS;
	}

	@Override
	public CompletableFuture<Answer> toDataCentre(DataCentreId target, PeerRequest request) {
		List<HostId> hosts = this.membership.contacts(target).stream().map(MemberAddress::host).toList();
		return tryInOrder(hosts, 0, request);
	}

	private CompletableFuture<Answer> tryInOrder(List<HostId> hosts, int index, PeerRequest request) {
		if (index >= hosts.size()) {
			return CompletableFuture.failedFuture(DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.NOT_RUN,
					"no host of the home data centre can be reached"));
		}
		return sendRequest(hosts.get(index), request).exceptionallyCompose((failure) -> isNotSent(failure)
				? tryInOrder(hosts, index + 1, request) : CompletableFuture.failedFuture(failure));
	}

	private CompletableFuture<PeerFrame.Builder> runForwardedTask(ForwardTask message) {
		CompletableFuture<PeerFrame.Builder> reply = new CompletableFuture<>();
		this.control.execute(() -> {
			TaskService tasks = this.local.localTasks();
			TaskRequest request = TaskMessages.toRequest(message, tasks.nextTaskId());
			Admission admission = tasks.offer(request, TaskMessages.toCall(message),
					(ended, answer, endNanos) -> TaskMessages.complete(reply, ended, answer), this.clock.getAsLong());
			if (!admission.isAccepted()) {
				reply.completeExceptionally(
						DispatchException.of(admission.error(), Outcome.NOT_RUN, admission.detail()));
			}
		});
		return reply;
	}

	@Override
	public List<PeerVersion> versions() {
		return membersInDataCentre().stream()
			.filter((member) -> member.state() == MemberState.JOINED && member.heartbeat() != null)
			.map((member) -> new PeerVersion(member.address().host(), member.heartbeat().configurationVersion()))
			.toList();
	}

	@Override
	public CompletableFuture<Optional<ConfigurationSnapshot>> fetch(HostId peer, long newerThan) {
		PeerFrame.Builder request = PeerFrame.newBuilder()
			.setConfigurationRequest(ConfigurationRequest.newBuilder().setNewerThan(newerThan));
		return this.links.request(peer, request, FETCH_TIMEOUT_NANOS).thenApply((reply) -> {
			ConfigurationOffer offer = reply.getConfigurationOffer();
			return offer.hasSnapshot() ? Optional.of(ConfigurationCodec.fromMessage(offer.getSnapshot()))
					: Optional.empty();
		});
	}

	/**
	 * Returns the peers, for status reports.
	 * @return the members, not null
	 */
	public Collection<Member> members() {
		return this.membership.members();
	}

	/**
	 * Returns the newest digest of another data centre, for status reports.
	 * @param other the data centre, not null
	 * @return the digest, or empty if none was received
	 */
	public Optional<DataCentreDigest> digest(DataCentreId other) {
		return this.membership.digest(other);
	}

	/**
	 * Returns when the newest digest of another data centre arrived.
	 * @param other a data centre whose digest is present, not null
	 * @return the time, in nanoseconds since the Unix epoch
	 */
	public long digestReceivedNanos(DataCentreId other) {
		return this.membership.digestReceivedNanos(other);
	}

}
