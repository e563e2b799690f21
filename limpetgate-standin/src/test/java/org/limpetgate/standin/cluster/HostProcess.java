package org.limpetgate.standin.cluster;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An entry host in a separate process, which is signalled by its process id.
 */
final class HostProcess {

	private static final Pattern PORTS = Pattern
		.compile("serve listening callers=(\\d+) operators=(\\d+) peers=(\\d+)");

	private static final Pattern VERSION = Pattern.compile("(?m)^limpetgate_configuration_version (\\S+)$");

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	private final Process process;

	private final int callerPort;

	private final int operatorPort;

	private final int peerPort;

	private HostProcess(Process process, Matcher ports) {
		this.process = process;
		this.callerPort = Integer.parseInt(ports.group(1));
		this.operatorPort = Integer.parseInt(ports.group(2));
		this.peerPort = Integer.parseInt(ports.group(3));
	}

	static HostProcess start(Path settings, Path log) throws IOException {
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
				"org.limpetgate.cli.Limpetgate", "serve", "--settings", settings.toString())
			.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
			.start();
		BufferedReader out = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
		String line = out.readLine();
		Matcher ports = PORTS.matcher((line != null) ? line : "");
		if (!ports.matches()) {
			process.destroyForcibly();
			throw new IllegalStateException("the host did not start; its log is " + log);
		}
		return new HostProcess(process, ports);
	}

	int peerPort() {
		return this.peerPort;
	}

	int operatorPort() {
		return this.operatorPort;
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor();
	}

	int terminate() throws InterruptedException {
		this.process.destroy();
		if (!this.process.waitFor(120, TimeUnit.SECONDS)) {
			throw new IllegalStateException("the host did not end after SIGTERM");
		}
		return this.process.exitValue();
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	boolean acceptsCallers() {
		try (Socket socket = new Socket("127.0.0.1", this.callerPort)) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	CompletableFuture<HttpResponse<String>> send(String method, String path, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.callerPort + path))
			.timeout(TIMEOUT)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		if (headers.length > 0) {
			request.headers(headers);
		}
		return this.client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	boolean isReady() {
		return get("/health/ready").map((response) -> response.statusCode() == 200).orElse(false);
	}

	/**
	 * Returns the configuration version in effect.
	 * @return the version, -2 if the host does not respond
	 */
	long version() {
		return get("/metrics").map((response) -> VERSION.matcher(response.body()))
			.filter(Matcher::find)
			.map((found) -> (long) Double.parseDouble(found.group(1)))
			.orElse(-2L);
	}

	private Optional<HttpResponse<String>> get(String path) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.operatorPort + path))
			.timeout(Duration.ofSeconds(2))
			.build();
		try {
			return Optional.of(this.client.send(request, HttpResponse.BodyHandlers.ofString()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
