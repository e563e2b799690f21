package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A runner as in PROTOCOL.md: leases, fencing tokens, attempts, ends with numbers, and one
 * entry in the store. It starts whatever it is told to start (rejectsOverload false). A
 * task works for the time that its taskSpec names and ends as done, or as failed if its
 * taskSpec says that its first attempt fails.
 */
final class Runner {

	static final long HOLD_MAX_MILLIS = 1000;

	static final long STOP_MILLIS = 10;

	static final long HEARTBEAT_MILLIS = 1500;

	private static final int MAX_ENDED = 500;

	private final String id;

	private final String zone;

	private final String service;

	private final int cpu;

	private final List<String> labels;

	private final Store store;

	private final Events events;

	private final ExecutorService threads;

	private final ScheduledExecutorService timers;

	private HttpServer server;

	private int port;

	private boolean up;

	/** Whether it is cut off from all machines of the system. */
	private boolean cut;

	private int life;

	private long born;

	private long bornNanos;

	private long sequence;

	private long token;

	private long leaseEndMillis;

	private boolean leaseLapsed;

	private long nextEnd = 1;

	private final Map<String, Running> running = new LinkedHashMap<>();

	private final List<Ended> ended = new ArrayList<>();

	/** The highest attempt of each task that was stopped or has ended here. */
	private final Map<String, Integer> endedAttempts = new HashMap<>();

	Runner(String id, String zone, String service, int cpu, List<String> labels, Store store, Events events,
			ExecutorService threads, ScheduledExecutorService timers) {
		this.id = id;
		this.zone = zone;
		this.service = service;
		this.cpu = cpu;
		this.labels = labels;
		this.store = store;
		this.events = events;
		this.threads = threads;
		this.timers = timers;
		timers.scheduleAtFixedRate(this::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
		timers.scheduleAtFixedRate(this::expireLease, 5, 5, TimeUnit.MILLISECONDS);
	}

	String id() {
		return this.id;
	}

	synchronized String address() {
		return "127.0.0.1:" + this.port;
	}

	synchronized void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), this.port), 100);
		this.port = this.server.getAddress().getPort();
		this.server.setExecutor(this.threads);
		int current = ++this.life;
		this.server.createContext("/", (exchange) -> handle(current, exchange));
		this.born = System.currentTimeMillis();
		this.bornNanos = System.nanoTime();
		this.sequence = 0;
		this.token = 0;
		this.leaseEndMillis = 0;
		this.leaseLapsed = false;
		this.nextEnd = 1;
		this.running.clear();
		this.ended.clear();
		this.endedAttempts.clear();
		this.up = true;
		this.server.start();
		heartbeat();
	}

	/** The process of the runner is killed: it sends nothing, and its runs are gone. */
	void crash() {
		HttpServer stopped;
		synchronized (this) {
			this.up = false;
			this.life++;
			stopped = this.server;
			this.running.forEach((task, run) -> this.events.lost(this.id, task, run.attempt));
			this.running.clear();
			notifyAll();
		}
		stopped.stop(0);
	}

	/**
	 * It is cut off from the machines of the system, or reached again. It runs on, and its
	 * entry in the store stays fresh.
	 */
	synchronized void setCut(boolean value) {
		this.cut = value;
		notifyAll();
	}

	synchronized List<String> runningTasks() {
		return List.copyOf(this.running.keySet());
	}

	synchronized int unacknowledgedEnds() {
		return this.ended.size();
	}

	private long clockMillis() {
		return (System.nanoTime() - this.bornNanos) / 1_000_000 + 1000;
	}

	private synchronized void heartbeat() {
		if (!this.up) {
			return;
		}
		Map<String, Object> entry = new LinkedHashMap<>();
		entry.put("service", this.service);
		entry.put("address", "127.0.0.1:" + this.port);
		entry.put("zone", this.zone);
		entry.put("configVersion", "v1");
		entry.put("slots", 8);
		entry.put("state", "ready");
		entry.put("coldRemainingMs", 0);
		entry.put("capacity", Map.of("cpu", this.cpu, "memMb", 32768, "gpu", 0));
		entry.put("labels", this.labels);
		entry.put("clockMs", clockMillis());
		entry.put("seqNo", this.sequence++);
		entry.put("born", this.born);
		this.store.put("keyed.servers", this.id, Json.write(entry));
	}

	private synchronized void expireLease() {
		if (!this.up || this.leaseLapsed || clockMillis() <= this.leaseEndMillis) {
			return;
		}
		this.leaseLapsed = true;
		this.ended.forEach((end) -> end.lapsed = true);
		for (Map.Entry<String, Running> entry : List.copyOf(this.running.entrySet())) {
			end(entry.getKey(), entry.getValue(), "lapsed");
		}
	}

	private void handle(int servedLife, HttpExchange exchange) throws IOException {
		try {
			Map<String, Object> body = Json
				.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
			String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
			int status;
			Map<String, Object> reply = new LinkedHashMap<>();
			synchronized (this) {
				awaitPath(servedLife);
				if (!this.up || this.life != servedLife) {
					return;
				}
				if (target != null && !target.equals(this.id)) {
					status = 421;
				}
				else {
					status = carryOut(servedLife, exchange.getRequestURI().getPath(), body, reply);
				}
				awaitPath(servedLife);
				if (!this.up || this.life != servedLife) {
					return;
				}
				reply.put("clockMs", clockMillis());
			}
			Http.reply(exchange, status, Json.write(reply));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	/** Holds a request or an answer back while it can't pass; it is lost with the process. */
	private void awaitPath(int servedLife) throws InterruptedException {
		while (this.cut && this.up && this.life == servedLife) {
			wait();
		}
	}

	private int carryOut(int servedLife, String path, Map<String, Object> body, Map<String, Object> reply)
			throws InterruptedException {
		// A lease that has lapsed since the last look is not prolonged.
		expireLease();
		long orderToken = Json.integer(body, "fencingToken", 0);
		if (orderToken < this.token) {
			reply.put("reason", "fence");
			return 409;
		}
		this.token = orderToken;
		return switch (path) {
			case "/api/run-start" -> startRun(body, reply);
			case "/api/run-stop" -> stopRun(body);
			case "/api/hold" -> hold(servedLife, body, reply);
			default -> 404;
		};
	}

	private void extendLease(Map<String, Object> body) {
		long deadline = Json.integer(body, "deadlineMs", 0);
		if (deadline > 0) {
			this.leaseEndMillis = Math.max(this.leaseEndMillis,
					Math.min(deadline, clockMillis() + HOLD_MAX_MILLIS));
			if (this.leaseEndMillis >= clockMillis()) {
				this.leaseLapsed = false;
			}
		}
	}

	private int startRun(Map<String, Object> body, Map<String, Object> reply) {
		String task = (String) body.get("task");
		int attempt = (int) Json.integer(body, "attempt", 1);
		Running present = this.running.get(task);
		if (present != null && present.attempt == attempt) {
			extendLease(body);
			return 200;
		}
		if (attempt <= this.endedAttempts.getOrDefault(task, 0) || present != null) {
			extendLease(body);
			reply.put("reason", "old");
			return 409;
		}
		if (Json.integer(body, "deadlineMs", 0) <= clockMillis()) {
			reply.put("reason", "late");
			return 409;
		}
		extendLease(body);
		String spec = (String) body.get("taskSpec");
		Running run = new Running(attempt, System.nanoTime(), Spec.millis(spec, task));
		this.running.put(task, run);
		this.events.started(this.id, task, attempt, spec);
		this.timers.schedule(() -> endByItself(task, run, spec), run.millis, TimeUnit.MILLISECONDS);
		return 200;
	}

	private synchronized void endByItself(String task, Running run, String spec) {
		boolean fails = Spec.failsOnce(spec, task) && !this.events.hasFailed(task);
		endOnTime(task, run, fails ? "failed" : "done");
	}

	private synchronized void endOnTime(String task, Running run, String how) {
		if (this.running.get(task) == run) {
			end(task, run, how);
		}
	}

	private int stopRun(Map<String, Object> body) {
		String task = (String) body.get("task");
		int attempt = (int) Json.integer(body, "attempt", 1);
		Running run = this.running.get(task);
		if (run != null && run.attempt <= attempt) {
			this.timers.schedule(() -> endOnTime(task, run, "stopped"), STOP_MILLIS, TimeUnit.MILLISECONDS);
		}
		this.endedAttempts.merge(task, attempt, Math::max);
		return 200;
	}

	private void end(String task, Running run, String how) {
		this.running.remove(task);
		this.endedAttempts.merge(task, run.attempt, Math::max);
		Ended end = new Ended(this.nextEnd++, task, run.attempt, how);
		this.ended.add(end);
		this.events.ended(this.id, task, run.attempt, how);
		notifyAll();
	}

	private int hold(int servedLife, Map<String, Object> body, Map<String, Object> reply) throws InterruptedException {
		extendLease(body);
		long cursor = Json.integer(body, "ackCursor", 0);
		while (!this.ended.isEmpty() && this.ended.get(0).number <= cursor) {
			Ended end = this.ended.remove(0);
			this.events.acknowledged(this.id, end.task, end.attempt, end.how, end.lapsed);
		}
		long waitUntil = System.nanoTime() + Math.min(2000, Json.integer(body, "waitMs", 0)) * 1_000_000;
		long remaining = waitUntil - System.nanoTime();
		while (this.ended.isEmpty() && remaining > 0 && this.up && this.life == servedLife) {
			wait(remaining / 1_000_000 + 1);
			remaining = waitUntil - System.nanoTime();
		}
		reply.put("born", this.born);
		List<Object> runningRows = new ArrayList<>();
		this.running.forEach((task, run) -> {
			long percent = Math.min(99, (System.nanoTime() - run.startNanos) / 10_000 / Math.max(1, run.millis));
			runningRows.add(List.of(task, run.attempt, "", percent, 0));
		});
		List<Object> endedRows = new ArrayList<>();
		for (Ended end : this.ended.subList(0, Math.min(MAX_ENDED, this.ended.size()))) {
			endedRows.add(List.of(end.number, end.task, end.attempt, end.how, ""));
		}
		reply.put("running", runningRows);
		reply.put("ended", endedRows);
		return 200;
	}

	/** A run that is at work. */
	private record Running(int attempt, long startNanos, long millis) {
	}

	/** An end that is not acknowledged yet. */
	private static final class Ended {

		private final long number;

		private final String task;

		private final int attempt;

		private final String how;

		/** Whether the lease of the runner lapsed since this end. */
		private boolean lapsed;

		Ended(long number, String task, int attempt, String how) {
			this.number = number;
			this.task = task;
			this.attempt = attempt;
			this.how = how;
		}

	}

}
