package org.limpetgate.standin;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.UpstreamId;
import org.limpetgate.cli.CliCommand;
import org.limpetgate.cli.LogOutput;
import org.limpetgate.cli.ServeCommand;
import org.limpetgate.config.Edit;
import org.limpetgate.config.EditResult;
import org.limpetgate.config.Pool;
import org.limpetgate.config.PoolKind;
import org.limpetgate.config.Route;
import org.limpetgate.config.TableJson;
import org.limpetgate.config.TableName;
import org.limpetgate.config.Upstream;
import org.limpetgate.host.EntryHost;
import org.limpetgate.host.settings.Endpoint;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.host.settings.Key;
import org.limpetgate.host.settings.Limits;
import org.limpetgate.host.settings.LogFile;
import org.limpetgate.host.settings.ProtocolTimings;
import picocli.CommandLine;

/**
 * Runs an entry host with stand-ins for the platform and the upstreams in one process,
 * for local trials and development.
 */
@CommandLine.Command(name = "dev", mixinStandardHelpOptions = true,
		description = "Runs an entry host with stand-ins for the platform and the upstreams in one process.")
public final class DevCommand implements CliCommand {

	private static final DataCentreId DATA_CENTRE = DataCentreId.of("oviedo");

	private static final PoolName RUNNERS = PoolName.of("checks");

	private static final PoolName WORKERS = PoolName.of("proofs");

	private static final int EVENT_LOOPS = 2;

	@CommandLine.Option(names = "--port", defaultValue = "8080",
			description = "port for callers; the operator API uses the next one (default: ${DEFAULT-VALUE})")
	private int port;

	@Override
	public Integer call() throws InterruptedException {
		LogOutput.configure(LogFile.STANDARD_ERROR);
		EventLoopGroup group = StandIns.newEventLoops(EVENT_LOOPS);
		PlatformStandIn platform = PlatformStandIn.start(group, LogLimits.DEFAULT);
		RunnerStandIn fast = RunnerStandIn.start(group, RunnerSettings.of(UpstreamId.of("runner-1")),
				new StartCounter());
		RunnerStandIn slow = RunnerStandIn.start(group, RunnerSettings.of(UpstreamId.of("runner-2")).withSpeed(0.5),
				new StartCounter());
		WorkerStandIn worker = WorkerStandIn.start(group, WorkerSettings.of(UpstreamId.of("worker-1")),
				new StartCounter());
		platform.addWorker(worker);
		EntryHost host = EntryHost.start(settings(platform.address()));
		host.configuration().ready().join();
		put(host, RUNNERS, TableJson.write(runnerPool(fast.address(), slow.address())));
		put(host, WORKERS, TableJson.write(workerPool(worker.address())));
		put(host, Route.ofPath(RouteName.of("checks"), "/checks", RUNNERS));
		put(host, Route.ofPath(RouteName.of("proofs"), "/proofs", WORKERS));
		printExamples();
		ServeCommand.awaitShutdown(host);
		return 0;
	}

	private HostSettings settings(InetSocketAddress platform) {
		return new HostSettings(HostId.of("dev-1"), "", DATA_CENTRE, List.of(DATA_CENTRE), 1,
				new Endpoint("127.0.0.1", this.port), new Endpoint("127.0.0.1", this.port + 1),
				new Endpoint("127.0.0.1", 0), List.of(),
				List.of(new Endpoint(platform.getHostString(), platform.getPort())),
				List.of(Key.of("dev", "development-key-of-32-characters")),
				List.of(Key.of("dev", "development-key-of-32-characters")), Limits.DEFAULT, ProtocolTimings.DEFAULT,
				OptionalLong.empty(), LogFile.STANDARD_ERROR);
	}

	private static Pool runnerPool(InetSocketAddress... addresses) {
		List<Upstream> upstreams = new ArrayList<>();
		for (InetSocketAddress address : addresses) {
			upstreams.add(new Upstream(UpstreamId.of("runner-" + (upstreams.size() + 1)), DATA_CENTRE,
					address.getAddress().getHostAddress(), address.getPort(), 8, Resources.NONE, ""));
		}
		return Pool.of(RUNNERS, PoolKind.RUNNERS, upstreams);
	}

	private static Pool workerPool(InetSocketAddress address) {
		return Pool.of(WORKERS, PoolKind.WORKERS, List.of(new Upstream(UpstreamId.of("worker-1"), DATA_CENTRE,
				address.getAddress().getHostAddress(), address.getPort(), 0, new Resources(16, 32_000, 0), "rack-1")));
	}

	private static void put(EntryHost host, PoolName name, String row) {
		put(host, TableName.POOLS, name.value(), row);
	}

	private static void put(EntryHost host, Route route) {
		put(host, TableName.ROUTES, route.name().value(), TableJson.write(route));
	}

	private static void put(EntryHost host, TableName table, String name, String row) {
		Edit edit = new Edit(UUID.randomUUID().toString(), "dev", System.currentTimeMillis() * 1_000_000L, table, name,
				-1, row);
		CompletableFuture<EditResult> result = host.configuration().edit(edit);
		result.orTimeout(Duration.ofSeconds(10).toMillis(), TimeUnit.MILLISECONDS).join();
	}

	private void printExamples() {
		PrintStream out = System.out;
		String base = "http://127.0.0.1:" + this.port;
		out.println("limpetgate dev is ready. Try:");
		out.println("  curl -i " + base + "/checks/tilt-sensor -d 'cabinet 7'");
		out.println("  curl -i " + base
				+ "/v1/submissions -d '{\"key\":\"round-1\",\"expiry\":\"'$(date -u -d '+5 min' "
				+ "+%Y-%m-%dT%H:%M:%SZ)'\",\"tasks\":[{\"id\":\"coil\",\"method\":\"POST\",\"path\":\"/checks/coil\","
				+ "\"body\":\"cabinet 7\"}]}'");
		out.println("  curl -s http://127.0.0.1:" + (this.port + 1) + "/metrics");
		out.println("Stop with Ctrl-C.");
		out.flush();
	}

}
