package org.limpetgate.host;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.PoolKind;
import org.limpetgate.dispatch.AdaptiveDispatcher;
import org.limpetgate.dispatch.DispatchSettings;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.dispatch.ShortestWaitSpillPolicy;
import org.limpetgate.host.configuration.ConfigurationService;
import org.limpetgate.host.configuration.Timer;
import org.limpetgate.host.operator.OperatorApi;
import org.limpetgate.host.settings.Endpoint;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.host.settings.Key;
import org.limpetgate.membership.MemberAddress;
import org.limpetgate.membership.Membership;
import org.limpetgate.membership.MembershipTimings;
import org.limpetgate.net.http.HttpClient;
import org.limpetgate.net.http.HttpClientLimits;
import org.limpetgate.net.http.HttpServer;
import org.limpetgate.net.http.HttpServerLimits;
import org.limpetgate.net.peer.InboundLink;
import org.limpetgate.net.peer.PeerHandler;
import org.limpetgate.net.peer.PeerIdentity;
import org.limpetgate.net.peer.PeerKeys;
import org.limpetgate.net.peer.PeerLinks;
import org.limpetgate.net.peer.PeerServer;
import org.limpetgate.net.peer.PeerSettings;
import org.limpetgate.net.platform.HttpHostList;
import org.limpetgate.net.platform.HttpLogService;
import org.limpetgate.net.platform.HttpWorkerService;
import org.limpetgate.net.platform.PlatformClientSettings;
import org.limpetgate.platform.HostListView;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.submission.DataCentres;
import org.limpetgate.submission.SubmissionCounts;
import org.limpetgate.submission.SubmissionSystem;
import org.limpetgate.submission.TicketAuthority;

/**
 * An entry host: creates, connects, starts and drains its components.
 * <p>
 * Control state is confined to the control thread; network traffic runs on the event
 * loops. Public methods are thread-safe.
 */
public final class EntryHost {

	/** The prefix of the name of the claims stream of a data centre. */
	public static final String CLAIMS_STREAM_PREFIX = "claims-";

	private final HostSettings settings;

	private final EpochClock clock = EpochClock.system();

	private final Incarnation incarnation;

	private final ControlLoop control;

	private final EventLog events = new EventLog();

	private final HostMetrics metrics = new HostMetrics();

	private final EventLoopGroup group;

	private final RandomGenerator random;

	private final Dispatcher dispatcher;

	private final TaskExecutor taskExecutor;

	private final HttpWorkerService workers;

	private final PeerKeys keys;

	private final TicketAuthority ticketAuthority;

	private final PeerServer peerServer;

	private final PeerLinks peerLinks;

	private final MembershipTimings timings;

	private final Membership membership;

	private final PeerService peers;

	private final UpstreamDirectory upstreams;

	private final ConfigurationService configuration;

	private final VersionTracker versionTracker;

	private final SubmissionService submissions;

	private final RemoteDataCentres remoteDataCentres;

	private final SpillService spillService;

	private final HttpServer callerServer;

	private final OperatorApi operatorApi;

	private final HttpServer operatorServer;

	private volatile PeerHandler peerHandler = EntryHost::refuseUntilStarted;

	private volatile boolean leaving;

	private EntryHost(HostSettings settings) {
		this.settings = settings;
		this.incarnation = Incarnation.of(settings.host(), this.clock.getAsLong());
		this.control = new ControlLoop("control-" + settings.host(), this.clock);
		this.group = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
		this.random = new SplittableRandom(settings.seed().orElse(this.incarnation.number()));
		this.dispatcher = AdaptiveDispatcher.of(
				DispatchSettings.of(settings.host(), settings.dataCentre(), settings.size()),
				new SplittableRandom(this.random.nextLong()));
		this.workers = HttpWorkerService.of(this.group, this::upstreamAddress, PlatformClientSettings.DEFAULT);
		this.taskExecutor = new TaskExecutor(this.dispatcher, gateways(), this.control, this.clock, this.events,
				this.metrics);
		PeerIdentity self = new PeerIdentity(this.incarnation, settings.dataCentre());
		List<Key> hostKeys = SettingsMapping.hostKeys(settings);
		this.keys = PeerKeys.of(hostKeys.get(0).id(), SettingsMapping.secrets(hostKeys));
		this.ticketAuthority = new TicketAuthority(this.incarnation, SettingsMapping.ticketSecrets(hostKeys));
		PeerSettings peerSettings = peerSettings(self);
		this.peerServer = PeerServer.start(this.group, SettingsMapping.toAddress(settings.peers()), peerSettings,
				(peer, frame) -> this.peerHandler.handle(peer, frame));
		this.peerLinks = PeerLinks.of(this.group, peerSettings, new SplittableRandom(this.random.nextLong()));
		this.timings = MembershipTimings.forDataCentres(settings.dataCentres().size());
		this.membership = new Membership(this.incarnation, settings.dataCentre(), this.timings);
		this.peers = peerService(self);
		this.upstreams = new UpstreamDirectory(this.dispatcher, this.peers, this.events);
		this.taskExecutor
			.setLeavingListener((upstream) -> this.upstreams.reportLeaving(upstream, this.clock.getAsLong()));
		FailoverLogService log = log();
		this.configuration = new ConfigurationService(settings.host(), log, this.peers, this.control, timer(),
				new SplittableRandom(this.random.nextLong()), settings.timings().snapshotInterval());
		this.versionTracker = new VersionTracker(settings.host(), settings.dataCentre(), settings.dataCentres(),
				() -> this.configuration.configuration().version(), this.peers);
		this.remoteDataCentres = remoteDataCentres();
		this.spillService = new SpillService(this.taskExecutor, this.dispatcher,
				ShortestWaitSpillPolicy.ofDigestInterval(this.timings.digestNanos()), this.remoteDataCentres,
				this.control, this.clock, this.events);
		this.submissions = submissionService(log);
		this.peers.setLocalHost(new LocalComponents(this.submissions, this.configuration, this.taskExecutor,
				this.dispatcher, this.upstreams));
		this.callerServer = HttpServer.start(this.group, SettingsMapping.toAddress(settings.callers()),
				SettingsMapping.callerLimits(this.settings),
				new CallerApi(this.submissions, new RequestService(this.spillService, this.configuration::configuration,
						this.control, this.clock, this.events), this::isReady));
		this.operatorApi = new OperatorApi(settings.host(), this.configuration, this.versionTracker,
				settings.operatorKeys(), this.clock);
		this.operatorServer = HttpServer.start(this.group, SettingsMapping.toAddress(settings.operators()),
				HttpServerLimits.defaults(), new OperatorHandler(this.operatorApi, this.metrics, this::isReady));
	}

	/**
	 * Starts an entry host. It is ready once it has a trusted configuration.
	 * @param settings the settings, not null
	 * @return the host, not null
	 * @throws java.io.UncheckedIOException if an address cannot be used
	 */
	public static EntryHost start(HostSettings settings) {
		EntryHost host = new EntryHost(settings);
		host.startComponents();
		return host;
	}

	private void startComponents() {
		registerGauges();
		this.peers.setListedHosts(SettingsMapping.listedMembers(this.settings));
		this.control.add(this.peers);
		this.control.add(this.remoteDataCentres);
		this.control.add(hostListWatcher());
		this.control.add(new UsageWatcher(this.workers, this.taskExecutor::busyWorkers, this.dispatcher, this.control,
				this.clock));
		this.control.add(this.versionTracker);
		this.control.add(this.submissions);
		this.control.add(this.taskExecutor);
		this.configuration.addListener(this::configurationChanged);
		this.configuration.start();
		this.peerHandler = this.peers;
		this.control.start();
		this.events.write(LogEvent.STARTED, this.incarnation, callerAddress(), operatorAddress(),
				this.peerServer.address());
	}

	private void registerGauges() {
		this.metrics.gauge("limpetgate.log.dropped", "Log events dropped", this.events::dropped);
		this.metrics.gauge("limpetgate.control.waiting", "Messages that wait for the control thread",
				this.control::waitingMessages);
		this.metrics.gauge("limpetgate.configuration.version", "Version of the tables in force",
				() -> this.configuration.configuration().version());
		this.metrics.gauge("limpetgate.submission.broken.invariants", "Broken invariants; above 0 is a fault",
				() -> this.submissions.counts().brokenInvariants());
		this.metrics.gauge("limpetgate.submission.claims", "Claims in memory",
				() -> this.submissions.counts().claims());
		this.metrics.gauge("limpetgate.submission.jobs", "Jobs remembered, ended ones included",
				() -> this.submissions.counts().jobs());
		this.metrics.gauge("limpetgate.submission.result.bytes", "Bytes of kept results",
				() -> this.submissions.counts().resultBytes());
		this.metrics.gauge("limpetgate.submission.open.requests", "Requests about submissions without an answer",
				() -> this.submissions.counts().openRequests());
	}

	private InetSocketAddress upstreamAddress(UpstreamId upstream) {
		return this.upstreams.address(upstream);
	}

	private Map<PoolKind, UpstreamGateway> gateways() {
		HttpClient client = HttpClient.of(this.group, HttpClientLimits.defaults());
		return Map.of(PoolKind.RUNNERS, new RunnerGateway(client), PoolKind.WORKERS,
				new WorkerGateway(this.workers, this.incarnation, this.clock));
	}

	private FailoverLogService log() {
		return new FailoverLogService(this.settings.platform()
			.stream()
			.map((endpoint) -> HttpLogService.of(this.group, SettingsMapping.toAddress(endpoint),
					PlatformClientSettings.DEFAULT))
			.toList());
	}

	private PeerService peerService(PeerIdentity self) {
		Endpoint advertised = this.settings.advertisedEndpoint();
		int port = (advertised.port() != 0) ? advertised.port() : this.peerServer.address().getPort();
		MemberAddress address = new MemberAddress(this.settings.host(), this.settings.dataCentre(),
				advertised.address(), port);
		Membership membership = new Membership(this.incarnation, this.settings.dataCentre(), MembershipTimings.DEFAULT);
		return new PeerService(self, address, this.settings.dataCentres(), this.settings.size(), this.membership,
				this.peerLinks, this.control, this.clock, this.events);
	}

	private RemoteDataCentres remoteDataCentres() {
		List<DataCentreId> otherDataCentres = new ArrayList<>(this.settings.dataCentres());
		otherDataCentres.remove(this.settings.dataCentre());
		return new RemoteDataCentres(otherDataCentres, this.membership, this.peerLinks, this.peers, this.configuration,
				this.control, this.clock);
	}

	private SubmissionService submissionService(FailoverLogService log) {
		JobTasks jobs = new JobTasks(this.spillService, this.configuration::configuration);
		SubmissionSystem system = new SubmissionSystem(this.incarnation,
				DataCentres.of(this.settings.dataCentre(), this.settings.dataCentres()),
				SettingsMapping.submissionSettings(this.settings), this.ticketAuthority, jobs,
				new SplittableRandom(this.random.nextLong()));
		return new SubmissionService(this.incarnation, CLAIMS_STREAM_PREFIX + this.settings.dataCentre(), system, jobs,
				log, this.peers, this.control, this.clock, this.events);
	}

	private PeerSettings peerSettings(PeerIdentity self) {
		PeerSettings peerSettings = PeerSettings.of(self, this.keys).withClock(this.clock);
		InetAddress listenAddress = SettingsMapping.toAddress(this.settings.peers()).getAddress();
		return listenAddress.isAnyLocalAddress() ? peerSettings : peerSettings.withLocalAddress(listenAddress);
	}

	private Timer timer() {
		return new Timer() {

			@Override
			public long nowNanos() {
				return EntryHost.this.clock.getAsLong();
			}

			@Override
			public void schedule(long delayNanos, Runnable task) {
				EntryHost.this.group.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
			}

		};
	}

	private HostListWatcher hostListWatcher() {
		HttpHostList list = HttpHostList.withUpstreamsOf(this.group,
				SettingsMapping.toAddress(this.settings.platform().get(0)), PlatformClientSettings.DEFAULT,
				this.settings.dataCentre());
		return new HostListWatcher(list, this.control, this.clock, this.events, this::hostListRead);
	}

	private void hostListRead(HostListView view, long nowNanos) {
		List<MemberAddress> addresses = new ArrayList<>(SettingsMapping.listedMembers(this.settings));
		addresses.addAll(HostListWatcher.addresses(view));
		this.peers.setListedHosts(addresses);
		this.upstreams.hostListRead(view, nowNanos);
	}

	private void configurationChanged(Configuration tables) {
		this.upstreams.configure(tables);
		this.taskExecutor.configure(tables, this.clock.getAsLong());
		this.peers.announce();
		this.events.write(LogEvent.CONFIGURATION_APPLIED, tables.version(), tables.routes().size(),
				tables.pools().size());
	}

	/**
	 * Tests whether the load balancer may send requests.
	 * @return true if the host has a trusted configuration and is not leaving
	 */
	public boolean isReady() {
		return this.configuration.isReady() && !this.leaving;
	}

	/**
	 * Returns the configuration of this host, through which tables are edited.
	 * @return the service, not null
	 */
	public ConfigurationService configuration() {
		return this.configuration;
	}

	/**
	 * Returns the address for callers.
	 * @return the address with the port in use, not null
	 */
	public InetSocketAddress callerAddress() {
		return this.callerServer.address();
	}

	/**
	 * Returns the address for operators.
	 * @return the address with the port in use, not null
	 */
	public InetSocketAddress operatorAddress() {
		return this.operatorServer.address();
	}

	/**
	 * Returns the address for peers.
	 * @return the address with the port in use, not null
	 */
	public InetSocketAddress peerAddress() {
		return this.peerServer.address();
	}

	/**
	 * Replaces the keys of the links between entry hosts, of the tickets and of the
	 * operators. Links that were opened with a removed key are closed. Tickets that were
	 * signed with a removed key can no longer be verified.
	 * @param newKeys the keys of the entry hosts, the current one first, at least one
	 * @param newOperatorKeys the keys of the operators, not null
	 * @throws IllegalArgumentException if there is no key of the entry hosts; nothing is
	 * replaced then
	 */
	public void replaceKeys(List<Key> newKeys, List<Key> newOperatorKeys) {
		if (newKeys.isEmpty()) {
			throw new IllegalArgumentException("there is no key of the entry hosts; add at least one to 'keys'");
		}
		this.keys.replace(newKeys.get(0).id(), SettingsMapping.secrets(newKeys));
		this.control.execute(() -> this.ticketAuthority.replaceSecrets(SettingsMapping.ticketSecrets(newKeys)));
		this.operatorApi.replaceKeys(newOperatorKeys);
		this.events.write(LogEvent.KEYS_REPLACED, ids(newKeys), ids(newOperatorKeys));
	}

	private static List<String> ids(List<Key> keys) {
		return keys.stream().map(Key::id).toList();
	}

	/**
	 * Shuts the host down gracefully: it is not ready from now on, stops listening after
	 * a second, finishes the requests in flight and closes.
	 * @return a future of the number of tasks that had not ended within the drain bound,
	 * usually 0
	 */
	public CompletableFuture<Integer> drain() {
		this.leaving = true;
		this.events.write(LogEvent.DRAINING, this.incarnation);
		this.control.execute(() -> {
			this.peers.leave();
			this.submissions.drain();
		});
		CompletableFuture<Integer> done = new CompletableFuture<>();
		new HostDrain(this.group, this.control, this.clock, this::isDrained, () -> close(done)).start(this.callerServer,
				this.settings.timings().drainBound());
		return done;
	}

	// A job that was accepted asynchronously counts as unfinished until its result is
	// collected, through this host or another one.
	private boolean isDrained() {
		SubmissionCounts counts = this.submissions.counts();
		return unfinishedTasks() == 0 && counts.openRequests() == 0 && counts.uncollectedJobs() == 0;
	}

	private int unfinishedTasks() {
		return this.taskExecutor.unfinishedTasks() + this.spillService.unfinishedTasks();
	}

	private void close(CompletableFuture<Integer> done) {
		int unfinishedTasks = unfinishedTasks();
		this.events.write(LogEvent.STOPPED, this.incarnation, unfinishedTasks);
		this.configuration.close();
		this.callerServer.close();
		this.operatorServer.close();
		this.peerLinks.close();
		done.complete(unfinishedTasks);
		new Thread(() -> {
			this.peerServer.close();
			this.control.close();
			this.events.close();
			this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}, "close-" + this.settings.host()).start();
	}

	private static Optional<CompletableFuture<PeerFrame.Builder>> refuseUntilStarted(InboundLink link,
			PeerFrame frame) {
		return Optional.of(CompletableFuture
			.failedFuture(DispatchException.of(ErrorKind.NOT_READY, Outcome.NOT_RUN, "the host is starting")));
	}

}
