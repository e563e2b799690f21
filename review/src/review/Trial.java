package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: machines of the system in three zones, the platform's store, runners
 * and clients. A case extends it with its traffic, its disruption and its check.
 */
abstract class Trial {

	static final List<String> ZONES = List.of("oviedo", "gijon", "aviles");

	static final String HOST = "nony24.example";

	static final String PREFIX = "/lohu930/";

	static final String SERVICE = "huvo11a";

	/** resendMs of the site files. */
	private static final long RESEND_MILLIS = 1300;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Random random = new Random();

	final ExecutorService threads = Executors.newCachedThreadPool(Trial::daemon);

	final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, Trial::daemon);

	final List<Runner> runners = new ArrayList<>();

	/** The ids of the jobs that were accepted (answered 200), with the time of the answer. */
	final Map<String, Long> accepted = new ConcurrentHashMap<>();

	/** The misses in a row of the ready check of each machine. */
	private final Map<Fleet.Machine, Integer> misses = new ConcurrentHashMap<>();

	Record record;

	Events events;

	Store store;

	Fleet fleet;

	Client client;

	private static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	}

	/** Runs the trial and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
	int run(Path caseFolder, Path repository) throws Exception {
		Path folder = Files.createTempDirectory("review");
		Runtime.getRuntime().addShutdownHook(new Thread(() -> cleanUp(folder)));
		int code = 2;
		try (Record written = new Record(caseFolder.resolve("record.txt"))) {
			this.record = written;
			this.events = new Events(written);
			this.store = new Store(written, this.threads);
			this.client = new Client(written, HOST);
			try {
				written.say("TROUBLE=%s", this.trouble ? "1" : "0");
				this.fleet = new Fleet(repository, folder, written, this.store, ZONES, machinesPerZone());
				this.store.put("keyed.op", "config", configuration());
				addRunners();
				this.fleet.startAll();
				if (awaitReady(30_000)) {
					this.timers.scheduleWithFixedDelay(this::checkRotation, 0, 1, TimeUnit.SECONDS);
					Thread.sleep(8_000);
					code = play();
				}
				else {
					written.say("the machines are not ready in time");
				}
			}
			finally {
				if (this.fleet != null) {
					this.fleet.close();
				}
				this.store.close();
				written.say("exit code %d", code);
			}
		}
		return code;
	}

	/** Ends all processes and deletes the temporary folder, also if the script is stopped. */
	private void cleanUp(Path folder) {
		if (this.fleet != null) {
			this.fleet.close();
		}
		try (Stream<Path> files = Files.walk(folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			System.err.println("the temporary folder was not deleted: " + ex.getMessage());
		}
	}

	/**
	 * As the platform does: after two misses of its ready check, one a second, a machine gets
	 * no new requests until it answers 200 again.
	 */
	private void checkRotation() {
		for (Fleet.Machine machine : this.fleet.machines()) {
			this.misses.put(machine, this.client.isReady(machine) ? 0 : this.misses.getOrDefault(machine, 0) + 1);
		}
	}

	/** Plays the traffic and, if trouble is set, the disruption; returns the exit code. */
	abstract int play() throws Exception;

	int machinesPerZone() {
		return 2;
	}

	int runnersPerZone() {
		return 4;
	}

	int attempts() {
		return 2;
	}

	int runnerCpu() {
		return 16_000;
	}

	private void addRunners() throws IOException {
		for (int zone = 0; zone < ZONES.size(); zone++) {
			for (int number = 1; number <= runnersPerZone(); number++) {
				String id = String.format("i-%x%07x", zone + 10, number);
				Runner runner = new Runner(id, ZONES.get(zone), SERVICE, runnerCpu(), List.of("a", "r" + zone + "-1"),
						this.store, this.events, this.threads, this.timers);
				this.runners.add(runner);
				runner.start();
			}
		}
	}

	private String configuration() {
		Map<String, Object> route = new LinkedHashMap<>();
		route.put("name", "r-3hwrr6x");
		route.put("host", HOST);
		route.put("pathPrefix", PREFIX);
		route.put("routeType", "non_idempotent");
		route.put("timeoutMs", 20_000);
		route.put("sloMs", 60);
		route.put("priority", 0);
		route.put("service", SERVICE);
		route.put("attempts", attempts());
		route.put("stretch", 1.6);
		Map<String, Object> service = new LinkedHashMap<>();
		service.put("name", SERVICE);
		service.put("healthPath", "/health");
		service.put("maxConns", 64);
		service.put("protocol", "h1");
		service.put("tls", false);
		service.put("rejectsOverload", false);
		service.put("spare", false);
		Map<String, Object> limits = new LinkedHashMap<>();
		limits.put("maxHeaderBytes", 16384);
		limits.put("maxBodyBytes", 262144);
		limits.put("headerTimeoutMs", 3000);
		limits.put("idleTimeoutMs", 15000);
		Map<String, Object> configuration = new LinkedHashMap<>();
		configuration.put("configVersion", 7);
		configuration.put("routes", List.of(route));
		configuration.put("services", List.of(service));
		configuration.put("limits", limits);
		return Json.write(configuration);
	}

	boolean awaitReady(long millis) throws InterruptedException {
		long end = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() < end) {
			if (this.fleet.machines().stream().allMatch(this.client::isReady)) {
				return true;
			}
			Thread.sleep(200);
		}
		return false;
	}

	/** A machine in rotation other than the given one, which may be null; any other one if there is none. */
	Fleet.Machine anyMachine(Fleet.Machine except) {
		List<Fleet.Machine> others = this.fleet.machines().stream().filter((machine) -> machine != except).toList();
		List<Fleet.Machine> inRotation = others.stream()
			.filter((machine) -> this.misses.getOrDefault(machine, 0) < 2)
			.toList();
		List<Fleet.Machine> chosen = inRotation.isEmpty() ? others : inRotation;
		return chosen.get(this.random.nextInt(chosen.size()));
	}

	/** The machine that last wrote to the store under a condition. */
	Fleet.Machine leader() {
		return this.fleet.machine(this.store.lastConditionalWriter());
	}

	String newId() {
		return String.format("%016x", this.random.nextLong());
	}

	/**
	 * Hands a job in, as a client does: again after no answer, 502 or 504, with the same
	 * id, at another machine.
	 */
	boolean submit(String id, String body, long deadlineMillis) {
		Fleet.Machine machine = anyMachine(null);
		for (int tries = 0; tries < 8; tries++) {
			Client.Answer answer = this.client.send("POST", machine, PREFIX + id, body, deadlineMillis);
			if (answer.status() == 200) {
				this.accepted.put(id, this.record.millis());
				return true;
			}
			if (answer.status() != Client.NO_ANSWER && answer.status() != 502 && answer.status() != 504) {
				return false;
			}
			pause(RESEND_MILLIS);
			machine = anyMachine(machine);
		}
		return false;
	}

	/** Asks for the state of a job until it is known; null if no answer names it. */
	String state(String id) {
		for (int tries = 0; tries < 6; tries++) {
			Client.Answer answer = this.client.send("GET", anyMachine(null), PREFIX + id, null, 2_000);
			if (answer.state() != null || answer.status() == 410) {
				return (answer.status() == 410) ? "410" : answer.state();
			}
			pause(500);
		}
		return null;
	}

	static void pause(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static void main(Trial trial, String[] arguments) throws Exception {
		int code = 2;
		try {
			code = trial.run(Path.of(arguments[0]), Path.of(arguments[1]));
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(code);
	}

}
