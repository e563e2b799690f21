package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The machines of the system: each is one process, started with the command of the deploy
 * file, with settings from its template.
 */
final class Fleet {

	private static final int METRICS_PORT = 9464;

	private final Path repository;

	private final Path folder;

	private final Record record;

	private final List<Machine> machines = new ArrayList<>();

	private final String command;

	private final String template;

	private final int frontPort;

	Fleet(Path repository, Path folder, Record record, Store store, List<String> zones, int perZone)
			throws IOException {
		this.repository = repository;
		this.folder = folder;
		this.record = record;
		String deploy = Files.readString(repository.resolve("deploy/system.toml"));
		this.command = entry(deploy, "run");
		this.template = Files.readString(repository.resolve(entry(deploy, "template")));
		Random random = new Random();
		for (int tries = 0;; tries++) {
			int net = random.nextInt(16, 240);
			int port = random.nextInt(20_000, 30_000);
			if (isFree(zones.size(), perZone, net, port)) {
				this.frontPort = port;
				for (int zone = 1; zone <= zones.size(); zone++) {
					for (int number = 1; number <= perZone; number++) {
						String name = "front-" + zones.get(zone - 1) + "-" + number;
						this.machines
							.add(new Machine(name, zones.get(zone - 1), ip(net, zone, number), store.open(name)));
					}
				}
				return;
			}
			if (tries == 50) {
				throw new IOException("no free addresses");
			}
		}
	}

	private static String ip(int net, int zone, int number) {
		return "127." + zone + "." + net + "." + (10 * zone + number);
	}

	private static boolean isFree(int zones, int perZone, int net, int port) {
		for (int zone = 1; zone <= zones; zone++) {
			for (int number = 1; number <= perZone; number++) {
				for (int tried : new int[] { port, port + 1, port + 2, METRICS_PORT }) {
					try (ServerSocket socket = new ServerSocket(tried, 1,
							InetAddress.getByName(ip(net, zone, number)))) {
						socket.getLocalPort();
					}
					catch (IOException ex) {
						return false;
					}
				}
			}
		}
		return true;
	}

	private static String entry(String toml, String name) {
		Matcher matcher = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(toml);
		if (!matcher.find()) {
			throw new IllegalStateException("the deploy file has no " + name);
		}
		return matcher.group(1);
	}

	List<Machine> machines() {
		return this.machines;
	}

	Machine machine(String name) {
		return this.machines.stream().filter((machine) -> machine.name.equals(name)).findFirst().orElseThrow();
	}

	void startAll() throws IOException {
		for (Machine machine : this.machines) {
			machine.start();
		}
	}

	void close() {
		for (Machine machine : this.machines) {
			if (machine.process != null) {
				machine.process.destroyForcibly();
			}
		}
		for (Machine machine : this.machines) {
			if (machine.process != null) {
				try {
					machine.process.waitFor(10, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}
	}

	/** One machine of the system. */
	final class Machine {

		final String name;

		final String zone;

		private final String ip;

		private final InetSocketAddress store;

		private Process process;

		private int starts;

		Machine(String name, String zone, String ip, InetSocketAddress store) {
			this.name = name;
			this.zone = zone;
			this.ip = ip;
			this.store = store;
		}

		String front() {
			return this.ip + ":" + Fleet.this.frontPort;
		}

		String ready() {
			return this.ip + ":" + (Fleet.this.frontPort + 1);
		}

		boolean isRunning() {
			return this.process != null && this.process.isAlive();
		}

		void start() throws IOException {
			Path settings = Fleet.this.folder.resolve(this.name + ".json");
			Files.writeString(settings, settings());
			ProcessBuilder builder = new ProcessBuilder(Fleet.this.command.split(" "));
			builder.directory(Fleet.this.repository.toFile());
			Map<String, String> kept = new HashMap<>();
			for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
				if (System.getenv(variable) != null) {
					kept.put(variable, System.getenv(variable));
				}
			}
			builder.environment().clear();
			builder.environment().putAll(kept);
			builder.environment().put("LIMPETGATE_CONFIG", settings.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(Fleet.this.folder.resolve(this.name + "-" + ++this.starts + ".log").toFile());
			this.process = builder.start();
			Fleet.this.record.add("%s is started", this.name);
		}

		void signal(String signal) throws IOException, InterruptedException {
			Fleet.this.record.say("SIG%s to %s", signal, this.name);
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).inheritIO().start().waitFor();
		}

		boolean awaitEnd(long millis) throws InterruptedException {
			boolean ended = this.process.waitFor(millis, TimeUnit.MILLISECONDS);
			Fleet.this.record.add("%s has %s", this.name, ended ? "ended" : "not ended in time");
			return ended;
		}

		void awaitEnd() throws InterruptedException {
			this.process.waitFor();
			Fleet.this.record.add("%s has ended", this.name);
		}

		private String settings() {
			Map<String, String> values = new LinkedHashMap<>();
			values.put("listenAddrs.front", front());
			values.put("listenAddrs.ready", ready());
			values.put("listenAddrs.control", control());
			values.put("ip", this.ip);
			values.put("zone", this.zone);
			values.put("seeds", String.join(",", Fleet.this.machines.stream().limit(3).map(Machine::control).toList()));
			values.put("platform.address", "127.0.0.1:" + this.store.getPort());
			values.put("limits.cpuShare", "0.75");
			values.put("limits.cores", "1");
			values.put("bounds.holdMaxMs", "1000");
			values.put("bounds.stopTimeoutMs", "50");
			values.put("bounds.resendMs", "1300");
			values.put("bounds.remoteFactor", "2");
			values.put("bounds.status_s", "120");
			values.put("bounds.graceS", "6");
			String filled = Fleet.this.template;
			for (Map.Entry<String, String> value : values.entrySet()) {
				filled = filled.replace("{{" + value.getKey() + "}}", value.getValue());
			}
			if (filled.contains("{{")) {
				throw new IllegalStateException("the template has a field that this trial does not fill");
			}
			return filled;
		}

		private String control() {
			return this.ip + ":" + (Fleet.this.frontPort + 2);
		}

	}

}
