import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: six entry hosts in three zones, started with the command of the deploy file, between the
 * platform's store and runners, which are stand-ins. All addresses are loopback addresses.
 */
final class Fleet implements AutoCloseable {

	static final String PREFIX = "/lohu930/";

	static final String OTHER_PREFIX = "/pufi791/";

	private static final String[] ZONES = { "oviedo", "gijon", "aviles" };

	private static final int HOSTS = 6;

	/** "Traffic starts 15 s after the machines do." */
	private static final long LEAD_MILLIS = 15_000;

	/** Named by deploy/settings.json. */
	private static final int METRICS_PORT = 9464;

	final Record record;

	final Store store = new Store();

	final List<Runner> runners = new CopyOnWriteArrayList<>();

	final List<Host> hosts = new ArrayList<>();

	/** All runs, in the order of their starts. */
	final List<Attempt> attempts = new CopyOnWriteArrayList<>();

	private final Path folder;

	/** Loopback addresses that no other run uses at the moment, since the port of the metrics is fixed. */
	private int network;

	private int subnet;

	private volatile long newestToken;

	private volatile boolean closed;

	Fleet(Path caseFolder) throws IOException {
		this.record = new Record(caseFolder.resolve("record.txt"));
		this.folder = Files.createTempDirectory("review-3-");
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
		Thread ticker = new Thread(() -> {
			while (!this.closed) {
				this.runners.forEach(Runner::tick);
				this.store.expire();
				sleep(4);
			}
		});
		ticker.setDaemon(true);
		ticker.start();
	}

	// ---- the parts ----

	Runner addRunner(int cpu) throws IOException {
		return addRunner(cpu, "a", 1);
	}

	Runner addRunner(int cpu, String kind, double speed) throws IOException {
		int number = this.runners.size();
		Runner runner = new Runner(this, "runner-" + (number + 1), ZONES[number % 3], "r1-" + (1 + number / 8), cpu, kind, speed);
		this.runners.add(runner);
		runner.start();
		return runner;
	}

	/** Writes the configuration: one queue for the service of the runners. */
	void configure(int attempts, String terms) {
		configure(attempts, terms, 1500);
	}

	void configure(int attempts, String terms, long timeoutMillis) {
		String tail = "\",\"routeType\":\"non_idempotent\",\"timeoutMs\":" + timeoutMillis + "," + terms
				+ "\"priority\":0,\"service\":\"rondas\",\"attempts\":" + attempts + ",\"stretch\":1.6}";
		String config = "{\"configVersion\":7,\"routes\":[{\"name\":\"r-3hwrr6x\",\"host\":\"nony24.example\","
				+ "\"pathPrefix\":\"" + PREFIX + tail + ",{\"name\":\"r-73d3zji\",\"host\":\"nony24.example\","
				+ "\"pathPrefix\":\"" + OTHER_PREFIX + tail + "],"
				+ "\"services\":[{\"name\":\"rondas\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
				+ "\"tls\":false,\"rejectsOverload\":false,\"spare\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
				+ "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
		this.store.put("keyed.op", "config", config.getBytes(StandardCharsets.UTF_8));
	}

	private void chooseAddresses() {
		java.util.Random random = new java.util.Random();
		boolean free = false;
		while (!free) {
			this.network = 1 + random.nextInt(13);
			this.subnet = 1 + random.nextInt(250);
			free = true;
			for (int number = 0; number < HOSTS; number++) {
				String address = "127." + (this.network * 16 + number + 1) + "." + this.subnet + "." + (10 + number);
				try (ServerSocket socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(address))) {
					free &= socket.isBound();
				}
				catch (IOException ex) {
					free = false;
				}
			}
		}
	}

	void startHosts() throws IOException {
		chooseAddresses();
		for (int number = 0; number < HOSTS; number++) {
			this.hosts.add(new Host(number));
		}
		List<String> seeds = this.hosts.subList(0, 3).stream().map((host) -> host.address + ":" + host.peerPort).toList();
		for (Host host : this.hosts) {
			host.writeSettings(String.join(",", seeds));
			host.start();
		}
		long startMillis = this.record.millis();
		for (Host host : this.hosts) {
			await(40_000, host.name + " to be ready", () -> host.get("/api/ready") == 200);
		}
		sleep(Math.max(0, LEAD_MILLIS - (this.record.millis() - startMillis)));
		// A client asks for the number of pending jobs first, so that the stored jobs have been read.
		for (Host host : this.hosts) {
			await(10_000, host.name + " to know the stored jobs",
					() -> send(host, "GET", PREFIX, "", 1500).status() == 200);
		}
	}

	// ---- what happened ----

	void tokenSeen(long token) {
		this.newestToken = Math.max(this.newestToken, token);
	}

	/** Returns the name of the host that made a fencing token, by the number of its address. */
	String hostOf(long token) {
		return this.hosts.stream()
			.filter((host) -> host.tokenNumber() == (token & 0xffff))
			.map((host) -> host.name)
			.findFirst()
			.orElse("?");
	}

	/** Returns the host that gave the newest order to a runner. */
	Host scheduler() {
		return this.hosts.stream()
			.filter((host) -> host.tokenNumber() == (this.newestToken & 0xffff))
			.findFirst()
			.orElseThrow();
	}

	void started(Runner runner, Runner.Run run, long token) {
		this.attempts.add(new Attempt(run.task, run.attempt, runner.name, this.record.millis()));
		this.record.write("START %s/%d on %s by %s", run.task, run.attempt, runner.name, hostOf(token));
	}

	void stopped(Runner runner, Runner.Run run) {
		find(run, runner).stopOrderMillis = this.record.millis();
	}

	void ended(Runner runner, Runner.Run run, String how) {
		Attempt attempt = find(run, runner);
		attempt.how = how;
		attempt.endMillis = this.record.millis();
		this.record.write("END %s/%d on %s: %s", run.task, run.attempt, runner.name, how);
	}

	void acknowledged(Runner runner, Runner.Run run, String how) {
		this.record.write("ACK of the end %s of %s/%d on %s", how, run.task, run.attempt, runner.name);
	}

	private Attempt find(Runner.Run run, Runner runner) {
		for (int index = this.attempts.size() - 1; index >= 0; index--) {
			Attempt attempt = this.attempts.get(index);
			if (attempt.task.equals(run.task) && attempt.number == run.attempt && attempt.runner.equals(runner.name)) {
				return attempt;
			}
		}
		throw new IllegalStateException("a run is unknown");
	}

	List<Attempt> attemptsOf(String prefix) {
		return this.attempts.stream().filter((attempt) -> attempt.task.startsWith(prefix)).toList();
	}

	boolean isRunning(String prefix) {
		return attemptsOf(prefix).stream().anyMatch((attempt) -> attempt.how == null);
	}

	int running(String prefix) {
		return (int) attemptsOf(prefix).stream().filter((attempt) -> attempt.how == null).count();
	}

	/** Returns the share of the processor capacity of all runners that are up that runs occupy. */
	double usedShare() {
		long used = 0;
		long total = 0;
		for (Runner runner : this.runners) {
			if (runner.isUp()) {
				used += runner.usedCpu();
				total += runner.cpu();
			}
		}
		return (total > 0) ? (double) used / total : 1;
	}

	// ---- clients ----

	/** Submits a job, again after no answer, 502 or 504 only. */
	void submit(Host host, String id, String body) {
		submit(host, PREFIX, id, body);
	}

	void submit(Host host, String prefix, String id, String body) {
		for (int tries = 0; tries < 20; tries++) {
			Client.Answer answer = send(host, "POST", prefix + id, body, 1500);
			if (answer.status() == 200) {
				return;
			}
			if (answer.status() == 429 || answer.status() == 503) {
				throw new IllegalStateException("job " + id + " was rejected");
			}
			sleep(500);
		}
		throw new IllegalStateException("job " + id + " was not accepted");
	}

	Client.Answer send(Host host, String method, String path, String body, long deadlineMillis) {
		this.record.write("SEND %s %s to %s %s", method, path, host.name, body);
		Client.Answer answer = Client.send(host, method, path, body, deadlineMillis);
		this.record.write("ANSWER to %s %s from %s: %d %s", method, path, host.name, answer.status(), answer.body());
		return answer;
	}

	/** Returns the state of a job, asked at a host until it answers. */
	String state(Host host, String id) {
		Client.Answer answer = send(host, "GET", PREFIX + id, "", 1500);
		for (int tries = 0; tries < 10 && answer.status() != 200 && answer.status() != 410; tries++) {
			sleep(300);
			answer = send(host, "GET", PREFIX + id, "", 1500);
		}
		if (answer.status() != 200 && answer.status() != 410) {
			throw new IllegalStateException("no host tells the state of job " + id);
		}
		return (answer.status() == 410) ? "410" : answer.state();
	}

	static long field(String spec, String name) {
		Matcher matcher = Pattern.compile("\\b" + name + "=([0-9]+)").matcher(spec);
		return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
	}

	// ---- waiting and ending ----

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	interface Condition {

		boolean holds();

	}

	void await(long millis, String what, Condition condition) {
		long end = System.nanoTime() + millis * 1_000_000;
		while (!condition.holds()) {
			if (System.nanoTime() > end) {
				throw new IllegalStateException("waited in vain for " + what);
			}
			sleep(5);
		}
	}

	// Ends all processes that were started, and removes the temporary folder; also when the case is ended by a signal.
	private synchronized void end() {
		this.closed = true;
		for (Host host : this.hosts) {
			if (host.process != null) {
				host.process.destroyForcibly();
				try {
					host.process.waitFor();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}
		if (Files.exists(this.folder)) {
			try (var files = Files.walk(this.folder)) {
				files.sorted((one, other) -> other.compareTo(one)).map(Path::toFile).forEach(File::delete);
			}
			catch (IOException ex) {
				ex.printStackTrace();
			}
		}
	}

	@Override
	public void close() {
		end();
	}

	/** A run of a task on a runner. */
	static final class Attempt {

		final String task;

		final int number;

		final String runner;

		final long startMillis;

		volatile long stopOrderMillis;

		volatile long endMillis;

		/** How it ended, null while it runs. */
		volatile String how;

		Attempt(String task, int number, String runner, long startMillis) {
			this.task = task;
			this.number = number;
			this.runner = runner;
			this.startMillis = startMillis;
		}

	}

	/** An entry host, a process of the project's own program. */
	final class Host {

		final String name;

		final int number;

		final String address;

		final int callerPort;

		final int readyPort;

		final int peerPort;

		final int storePort;

		private Process process;

		private int starts;

		Host(int number) throws IOException {
			this.number = number;
			this.name = "front-" + ZONES[number % 3] + "-" + (1 + number / 3);
			this.address = "127." + (Fleet.this.network * 16 + number + 1) + "." + Fleet.this.subnet + "." + (10 + number);
			this.callerPort = freePort();
			this.readyPort = freePort();
			this.peerPort = freePort();
			this.storePort = Fleet.this.store.open(number);
		}

		private int freePort() throws IOException {
			try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(this.address))) {
				return socket.getLocalPort();
			}
		}

		int tokenNumber() {
			return (this.number + 1) << 12 | (Fleet.this.subnet & 0x0f) << 8 | (10 + this.number);
		}

		void writeSettings(String seeds) throws IOException {
			Map<String, String> values = new HashMap<>();
			values.put("listenAddrs.front", this.address + ":" + this.callerPort);
			values.put("listenAddrs.ready", this.address + ":" + this.readyPort);
			values.put("listenAddrs.control", this.address + ":" + this.peerPort);
			values.put("ip", this.address);
			values.put("zone", ZONES[this.number % 3]);
			values.put("seeds", seeds);
			values.put("platform.address", "127.0.0.1:" + this.storePort);
			values.put("limits.cpuShare", "0.75");
			values.put("limits.cores", "1");
			values.put("bounds.holdMaxMs", "1000");
			values.put("bounds.stopTimeoutMs", "50");
			values.put("bounds.configApplyMs", "2000");
			values.put("bounds.resendMs", "1300");
			values.put("bounds.remoteFactor", "2");
			values.put("bounds.status_s", "120");
			values.put("bounds.graceS", "6");
			String filled = Pattern.compile("\\{\\{([^}]*)}}")
				.matcher(Files.readString(Path.of("deploy/settings.json")))
				.replaceAll((match) -> {
					String value = values.get(match.group(1));
					if (value == null) {
						throw new IllegalStateException("no value for " + match.group(1));
					}
					return Matcher.quoteReplacement(value);
				});
			Files.writeString(settingsFile(), filled);
		}

		private Path settingsFile() {
			return Fleet.this.folder.resolve(this.name + ".json");
		}

		void start() throws IOException {
			Matcher run = Pattern.compile("(?m)^run = \"(java .*)\"$")
				.matcher(Files.readString(Path.of("deploy/system.toml")));
			if (!run.find()) {
				throw new IllegalStateException("the deploy file has no command");
			}
			List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
			String home = System.getProperty("java.home");
			command.set(0, Path.of(home, "bin", "java").toString());
			ProcessBuilder builder = new ProcessBuilder(command);
			builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			builder.environment().put("LIMPETGATE_CONFIG", settingsFile().toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(Fleet.this.folder.resolve(this.name + "-" + ++this.starts + ".log").toFile());
			this.process = builder.start();
			Fleet.this.record.write("HOST %s (%s) started, pid %d", this.name, this.address, this.process.pid());
		}

		void kill() {
			Fleet.this.record.write("FAULT SIGKILL to %s", this.name);
			this.process.destroyForcibly();
		}

		void terminate() {
			Fleet.this.record.write("FAULT SIGTERM to %s", this.name);
			this.process.destroy();
		}

		/** Returns whether the process has not ended. */
		boolean isAlive() {
			return this.process.isAlive();
		}

		int get(String path) {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(this.address, this.readyPort), 500);
				socket.setSoTimeout(500);
				socket.getOutputStream()
					.write(("GET " + path + " HTTP/1.1\r\nHost: " + this.address + "\r\nConnection: close\r\n\r\n")
						.getBytes(StandardCharsets.US_ASCII));
				String head = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
				return Integer.parseInt(head.substring(9, 12));
			}
			catch (IOException | RuntimeException ex) {
				return 0;
			}
		}

		/** Copies what the process wrote that names a text into the record. */
		void copyLog(String text) throws IOException {
			for (int start = 1; start <= this.starts; start++) {
				Path log = Fleet.this.folder.resolve(this.name + "-" + start + ".log");
				for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
					if (line.contains(text)) {
						Fleet.this.record.write("LOG %s: %s", this.name, line);
					}
				}
			}
		}

	}

}
