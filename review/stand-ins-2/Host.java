import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry host: the program of the deploy file as a process. Thread-safe. */
final class Host {

	final String name;

	final int number;

	final InetSocketAddress callers;

	private final Main main;

	private final Path settings;

	private final Path folder;

	private Process process;

	private int starts;

	/** Until when it isn't in touch, in milliseconds of the steady clock. */
	private volatile long disturbedMs;

	private volatile boolean stopped;

	private volatile boolean endOrdered;

	Host(Main main, int number, String name, InetSocketAddress callers, Path folder, Map<String, String> values)
			throws IOException {
		this.main = main;
		this.number = number;
		this.name = name;
		this.callers = callers;
		this.folder = folder;
		this.settings = folder.resolve(name + ".json");
		Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(Files.readString(Path.of("deploy/settings.json")));
		Files.writeString(this.settings, matcher.replaceAll((match) -> {
			if (!values.containsKey(match.group(1))) {
				throw new IllegalStateException("the settings need " + match.group(1));
			}
			return Matcher.quoteReplacement(values.get(match.group(1)));
		}));
	}

	synchronized void start() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no command");
		}
		List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
		ProcessBuilder builder = new ProcessBuilder(command);
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("LIMPETGATE_CONFIG", this.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(this.folder.resolve(this.name + "-" + ++this.starts + ".log").toFile());
		this.disturbedMs = Main.now();
		this.endOrdered = false;
		this.process = builder.start();
		Process started = this.process;
		this.main.record.note("HOST %s started, start %d", this.name, this.starts);
		started.onExit().thenRun(() -> {
			if (!this.endOrdered) {
				this.main.record.broken("Fault.", "the process of %s ended by itself with exit code %d", this.name,
						started.exitValue());
			}
		});
	}

	synchronized void kill() {
		this.main.record.note("HOST %s SIGKILL", this.name);
		this.endOrdered = true;
		this.disturbedMs = Main.now();
		this.process.destroyForcibly();
		await();
	}

	private void await() {
		try {
			this.process.waitFor();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// SIGTERM, and SIGKILL after graceS; returns when the process has ended.
	void terminate() {
		this.main.record.note("HOST %s SIGTERM", this.name);
		this.endOrdered = true;
		this.disturbedMs = Main.now();
		this.process.destroy();
		try {
			if (!this.process.waitFor(6, java.util.concurrent.TimeUnit.SECONDS)) {
				kill();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.main.record.note("HOST %s has ended", this.name);
		this.disturbedMs = Main.now();
	}

	synchronized void signal(String signal) throws IOException, InterruptedException {
		this.main.record.note("HOST %s SIG%s", this.name, signal);
		this.disturbedMs = Main.now();
		this.stopped = signal.equals("STOP");
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	void disturb() {
		this.disturbedMs = Main.now();
	}

	// In touch: no disruption for contactMs.
	boolean inTouch() {
		return isAlive() && !this.stopped && Main.now() - this.disturbedMs > 3000;
	}

	synchronized boolean isAlive() {
		return this.process != null && this.process.isAlive() && !this.endOrdered;
	}

	void close() {
		this.endOrdered = true;
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

}
