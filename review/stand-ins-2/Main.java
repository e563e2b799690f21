import com.sun.net.httpserver.HttpExchange;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A small deployment for one case: entry hosts as processes, the store, the runners and the
 * clients as stand-ins in this process. Loopback addresses 127.NET.x.y only.
 */
final class Main {

	static final String SERVICE = "svc7";

	static final String QUEUE_HOST = "cards.example";

	static final String PREFIX = "/q1/";

	private static final long RESEND_MS = 1300;

	final Record record;

	final Store store = new Store();

	final Gangs gangs = new Gangs();

	final List<Host> hosts = new ArrayList<>();

	final List<Worker> workers = new ArrayList<>();

	final List<Job> jobs = new CopyOnWriteArrayList<>();

	/** Decides what the users' platform decides by chance; from the entropy of the machine. */
	final Random random = new Random();

	final long startedMs = now();

	private final AtomicLong lastToken = new AtomicLong();

	private final int net;

	private final int port;

	Main(Path recordFile, Path folder, int hostCount, int workerCount, int cpu) throws IOException {
		this.record = new Record(recordFile);
		int chosenNet;
		int chosenPort;
		do {
			chosenNet = 20 + this.random.nextInt(200);
			chosenPort = 20_000 + this.random.nextInt(10_000);
		}
		while (!isFree(chosenNet, chosenPort, hostCount));
		this.net = chosenNet;
		this.port = chosenPort;
		List<String> seeds = new ArrayList<>();
		for (int host = 0; host < Math.min(3, hostCount); host++) {
			seeds.add(text(hostAddress(host, 2)));
		}
		for (int host = 0; host < hostCount; host++) {
			this.store.listen(host, address(100, host + 1, this.port));
			this.hosts.add(new Host(this, host, "front-" + (host + 1), hostAddress(host, 0), folder,
					settings(host, String.join(",", seeds))));
		}
		for (int number = 0; number < workerCount; number++) {
			this.workers.add(new Worker(this, "i-" + Long.toHexString(0x70000000L + this.random.nextInt(1 << 28)),
					address(101, number + 1, this.port), "zone-" + (char) ('a' + number % 3), "r1-" + (1 + number % 3),
					cpu));
		}
	}

	private InetSocketAddress hostAddress(int host, int offset) {
		return address(1 + host % 3, host + 1, this.port + offset);
	}

	private InetSocketAddress address(int third, int last, int addressPort) {
		return new InetSocketAddress("127." + this.net + "." + third + "." + last, addressPort);
	}

	private static boolean isFree(int net, int port, int hostCount) {
		for (int host = 0; host < hostCount; host++) {
			String address = "127." + net + "." + (1 + host % 3) + "." + (host + 1);
			for (int tried : new int[] { port, port + 1, port + 2, 9464 }) {
				try (ServerSocket socket = new ServerSocket()) {
					socket.bind(new InetSocketAddress(address, tried));
				}
				catch (IOException ex) {
					return false;
				}
			}
		}
		return true;
	}

	private Map<String, String> settings(int host, String seeds) {
		Map<String, String> values = new HashMap<>();
		values.put("listenAddrs.front", text(hostAddress(host, 0)));
		values.put("listenAddrs.ready", text(hostAddress(host, 1)));
		values.put("listenAddrs.control", text(hostAddress(host, 2)));
		values.put("ip", hostAddress(host, 0).getAddress().getHostAddress());
		values.put("zone", "zone-" + (char) ('a' + host % 3));
		values.put("seeds", seeds);
		values.put("platform.address", text(address(100, host + 1, this.port)));
		values.put("limits.cpuShare", "0.75");
		values.put("limits.cores", "1");
		values.put("bounds.holdMaxMs", "1000");
		values.put("bounds.stopTimeoutMs", "50");
		values.put("bounds.configApplyMs", "2000");
		values.put("bounds.resendMs", "1300");
		values.put("bounds.remoteFactor", "2");
		values.put("bounds.status_s", "120");
		values.put("bounds.graceS", "6");
		return values;
	}

	// Starts everything and waits until the hosts take jobs.
	void start(int attempts) throws IOException {
		this.record.setAttempts(attempts);
		String configuration = "{\"configVersion\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + QUEUE_HOST
				+ "\",\"pathPrefix\":\"" + PREFIX + "\",\"routeType\":\"non_idempotent\",\"timeoutMs\":30000,\"sloMs\":60,"
				+ "\"priority\":0,\"service\":\"" + SERVICE + "\",\"attempts\":" + attempts
				+ ",\"stretch\":1.6}],\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConns\":64,"
				+ "\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"spare\":false}],\"limits\":{"
				+ "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
		this.store.put("keyed.op", "config", configuration.getBytes(StandardCharsets.UTF_8));
		for (Worker worker : this.workers) {
			worker.start();
		}
		for (Host host : this.hosts) {
			host.start();
		}
		long until = now() + 30_000;
		while (!this.hosts.stream().allMatch(this::isReady)) {
			if (now() > until) {
				throw new IOException("the hosts aren't ready after 30 s");
			}
			sleep(100);
		}
		// Traffic starts 15 s after the machines do; a little sooner is enough here. The first jobs
		// may be rejected, as the hosts have not used the job store yet.
		sleep(6000);
		Job first;
		do {
			first = job(false).step(1, 100, 50);
			this.record.created(first);
			submitOnce(first, any());
			sleep(700);
		}
		while (!this.record.isAccepted(first) && now() < until + 20_000);
	}

	// Waits until jobs are accepted, or rejected for good.
	void awaitAccepted(List<Job> awaited, long limitMs) throws IOException {
		long until = now() + limitMs;
		while (!awaited.stream().allMatch(this.record::isAccepted)) {
			if (now() > until) {
				throw new IOException("the jobs of the case aren't accepted");
			}
			sleep(20);
		}
	}

	// Writes an entry every heartbeat interval, as its writer would.
	void writeForeignEntry() {
		while (true) {
			String entry = "{\"service\":\"printers\",\"address\":\"" + text(address(102, 1, this.port))
					+ "\",\"zone\":\"zone-a\",\"configVersion\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,"
					+ "\"capacity\":{\"cpu\":1000,\"memMb\":1024,\"gpu\":0},\"labels\":[\"p\"],\"clockMs\":" + now()
					+ ",\"seqNo\":" + now() + ",\"born\":1700000000000}";
			this.store.putWorker("printer-7", entry.getBytes(StandardCharsets.UTF_8));
			sleep(Worker.HEARTBEAT_MS);
		}
	}

	boolean isReady(Host host) {
		return host.isAlive() && Client.call(new InetSocketAddress(host.callers.getAddress(), host.callers.getPort() + 1),
				"GET", "/api/ready", "", 900).status() == 200;
	}

	Job job(boolean bestEffort) {
		Job job = new Job(String.format("%016x", this.random.nextLong()), bestEffort);
		return job;
	}

	// Hands a job in; after no answer it is sent again, to any host.
	void submit(Job job) {
		this.record.created(job);
		this.jobs.add(job);
		daemon(() -> {
			for (int attempt = 0; attempt < 12; attempt++) {
				Client.Answer answer = submitOnce(job, any());
				if (answer.status() != 0 && answer.status() != 502 && answer.status() != 504) {
					return;
				}
				sleep(RESEND_MS);
			}
		}).start();
	}

	// Hands a job in until it is accepted, also after a rejection; the cases begin with such jobs.
	void submitUntilAccepted(Job job) {
		this.record.created(job);
		this.jobs.add(job);
		daemon(() -> {
			for (int attempt = 0; attempt < 12 && !this.record.isAccepted(job); attempt++) {
				submitOnce(job, any());
				sleep(this.record.isAccepted(job) ? 0 : RESEND_MS);
			}
		}).start();
	}

	Client.Answer submitOnce(Job job, Host host) {
		Client.Answer answer = Client.call(host.callers, "POST", PREFIX + job.id, job.body(), 10_000);
		this.record.submitted(job, answer.status(), "by " + host.name + " " + answer.body());
		return answer;
	}

	Host any() {
		List<Host> alive = this.hosts.stream().filter(Host::isAlive).toList();
		return alive.isEmpty() ? this.hosts.get(0) : alive.get(this.random.nextInt(alive.size()));
	}

	// Asks for a job's state; returns it, or the status.
	String show(Job job, Host host) {
		Client.Answer answer = Client.call(host.callers, "GET", PREFIX + job.id, "", 2000);
		String state = (answer.status() == 200) ? Json.text(answer.body(), "state") : "";
		this.record.shown(job, answer.status(), state, host.name, host.inTouch());
		return state.isEmpty() ? Integer.toString(answer.status()) : state;
	}

	void showPending(Host host) {
		Client.Answer answer = Client.call(host.callers, "GET", PREFIX, "", 2000);
		if (answer.status() == 200) {
			this.record.pendingShown((int) Json.number(answer.body(), "pendingJobs", -1), host.name, host.inTouch());
		}
		else {
			this.record.note("CLIENT GET pendingJobs at %s answered %d", host.name, answer.status());
		}
	}

	int cancel(Job job, Host host) {
		this.record.cancelSent(job);
		Client.Answer answer = Client.call(host.callers, "DELETE", PREFIX + job.id, "", 4000);
		this.record.cancelled(job, answer.status());
		return answer.status();
	}

	void tokenSeen(long token) {
		this.lastToken.accumulateAndGet(token, Math::max);
	}

	// The host whose orders runners follow: a token ends with the last byte of its address.
	Host scheduler() {
		int number = (int) (this.lastToken.get() & 0xff) - 1;
		return this.hosts.get(Math.max(0, Math.min(this.hosts.size() - 1, number)));
	}

	void close() {
		this.hosts.forEach(Host::close);
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	}

	static long now() {
		return System.nanoTime() / 1_000_000;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted");
		}
	}

	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.getResponseHeaders().add("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, (body.length == 0) ? -1 : body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	// Arguments: the case, the file for the record. Exits with 1 if a rule was broken, 0 if all
	// held, and 2 if the case couldn't run.
	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("limpetgate-review-");
		int exit = 2;
		Main main = null;
		try {
			main = Cases.open(arguments[0], Path.of(arguments[1]), folder);
			Main opened = main;
			Runtime.getRuntime().addShutdownHook(new Thread(opened::close));
			Cases.run(arguments[0], main, trouble);
			main.record.note("END %s, %d rules broken", main.record.summary(), main.record.brokenCount());
			exit = (main.record.brokenCount() > 0) ? 1 : 0;
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		finally {
			if (main != null) {
				main.close();
			}
			if (System.getenv("KEEP") == null) {
				deleteFolder(folder);
			}
			else {
				System.out.println("logs in " + folder);
			}
		}
		Runtime.getRuntime().halt(exit);
	}

	private static void deleteFolder(Path folder) throws IOException {
		try (var files = Files.list(folder)) {
			for (Path file : files.toList()) {
				Files.deleteIfExists(file);
			}
		}
		Files.deleteIfExists(folder);
	}

}
